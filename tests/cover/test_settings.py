"""Settings and intents: every fault at once, with path and what was expected."""

from pathlib import Path

import pytest

from coursekeel.errors import RequestInvalid, SettingsInvalid
from coursekeel.intents import intent_from_json, intent_to_json
from coursekeel.settings import load_settings, parse_settings, read_json_with_comments

EXAMPLES = Path(__file__).parents[2] / "examples"
LEAST = {"instance_id": "i", "zone": "z", "platform": {"base_url": "http://h"}}


@pytest.mark.parametrize("name", ["head-office", "inspection"])
def test_the_sample_settings_and_intents_are_good(name):
    settings = load_settings(EXAMPLES / f"{name}.json")
    assert settings.zone
    raw = read_json_with_comments(EXAMPLES / f"{name}-intent.json")
    intent = intent_from_json(raw)
    assert intent.teams
    assert intent_from_json(intent_to_json(intent)) == intent


def test_every_fault_is_named_at_once():
    value = {
        **LEAST,
        "instance_id": 5,
        "timers": {"lease_ms": "3", "journal": 5},
        "limits": {"open_streams": 0},
        "operators": [{"name": "a", "key_hash": "b"}],
        "colour": "red",
    }
    with pytest.raises(SettingsInvalid) as caught:
        parse_settings(value, "file.json")
    text = str(caught.value)
    for part in (
        "file.json: instance_id: got 5, expected str",
        "timers.lease_ms: got '3', expected int",
        "journal has no unit, write journal_ms",
        "limits.open_streams: got 0, expected at least 1",
        "operators[0].key_hash: expected the SHA-256",
        "unknown key colour",
    ):
        assert part in text, text


def test_profiles_fill_what_is_not_given():
    settings = parse_settings(
        {**LEAST, "profile": "inspection", "timers": {"lease_ms": 9_000}}, "f"
    )
    assert settings.timers.lease_ms == 9_000
    assert settings.timers.silence_floor_ms == 2_000


def test_a_file_that_cannot_be_read_is_named(tmp_path):
    with pytest.raises(SettingsInvalid, match="can't be read"):
        load_settings(tmp_path / "none.json")
    broken = tmp_path / "broken.json"
    broken.write_text("{")
    with pytest.raises(SettingsInvalid, match="not JSON with comments"):
        load_settings(broken)


def test_settings_can_be_pasted_back():
    from coursekeel.settings import (  # noqa: F401 - eval needs the names
        EntrySettings,
        Limits,
        ListenSettings,
        PlatformSettings,
        Timers,
    )

    settings = parse_settings(LEAST, "f")
    assert eval(repr(settings)) == settings


def test_intent_faults_carry_their_paths():
    with pytest.raises(RequestInvalid) as caught:
        intent_from_json(
            {"models": [{"name": 1}], "endpoints": [{"kind": "x"}], "teams": [{}]}
        )
    text = str(caught.value)
    for part in ("models[0].name", "endpoints[0].kind: got 'x'", "teams[0].name"):
        assert part in text, text


def test_an_unknown_profile_is_refused():
    with pytest.raises(RequestInvalid, match="unknown profile"):
        intent_from_json({"classes": [{"name": "a", "profile": "b"}]})
