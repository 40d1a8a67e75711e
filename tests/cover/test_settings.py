"""Settings and intents: all faults at once, with their path and the expected value."""

from pathlib import Path

import pytest

from coursekeel.errors import RequestInvalid, SettingsInvalid
from coursekeel.intents import intent_from_json, intent_to_json
from coursekeel.settings import load_settings, parse_settings, read_json_with_comments

EXAMPLES = Path(__file__).parents[2] / "examples"
MINIMAL_SETTINGS = {
    "instance_id": "i",
    "zone": "z",
    "platform": {"base_url": "http://h"},
}


@pytest.mark.parametrize("name", ["head-office", "inspection"])
def test_the_example_settings_and_intents_are_valid(name):
    settings = load_settings(EXAMPLES / f"{name}.json")
    assert settings.zone
    raw = read_json_with_comments(EXAMPLES / f"{name}-intent.json")
    intent = intent_from_json(raw)
    assert intent.teams
    assert intent_from_json(intent_to_json(intent)) == intent


def test_all_faults_are_reported_at_once():
    value = {
        **MINIMAL_SETTINGS,
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


def test_a_profile_provides_the_omitted_timers():
    settings = parse_settings(
        {**MINIMAL_SETTINGS, "profile": "inspection", "timers": {"lease_ms": 9_000}},
        "f",
    )
    assert settings.timers.lease_ms == 9_000
    assert settings.timers.silence_floor_ms == 2_000


def test_an_unreadable_or_malformed_file_is_reported(tmp_path):
    with pytest.raises(SettingsInvalid, match="can't be read"):
        load_settings(tmp_path / "none.json")
    broken = tmp_path / "broken.json"
    broken.write_text("{")
    with pytest.raises(SettingsInvalid, match="not JSON with comments"):
        load_settings(broken)


def test_the_repr_of_settings_evaluates_to_them():
    from coursekeel.settings import (  # noqa: F401 - eval needs the names
        EntrySettings,
        Limits,
        ListenSettings,
        PlatformSettings,
        Timers,
    )

    settings = parse_settings(MINIMAL_SETTINGS, "f")
    assert eval(repr(settings)) == settings


def test_intent_faults_are_reported_with_their_paths():
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
