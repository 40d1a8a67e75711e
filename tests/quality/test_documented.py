"""What operators can meet is on their page, and what is written is reachable."""

import re
from pathlib import Path

from tools.settings_reference import settings_reference

ROOT = Path(__file__).parents[2]
SOURCES = [file for file in (ROOT / "src").rglob("*.py") if "peer_pb2" not in file.name]
GUIDE = (ROOT / "docs" / "operators" / "index.md").read_text()


def named(pattern: str) -> set[str]:
    return {name for file in SOURCES for name in re.findall(pattern, file.read_text())}


def test_every_log_event_is_on_the_operators_page():
    events = named(r'log_event\(\s*"(\w+)"')
    assert events
    assert {each for each in events if f"`{each}`" not in GUIDE} == set()


def test_every_metric_is_on_the_operators_page():
    metrics = named(r'"(coursekeel_\w+)"')
    assert metrics
    assert {each for each in metrics if f"`{each}`" not in GUIDE} == set()


def test_every_error_code_is_on_the_api_page():
    page = (ROOT / "docs" / "api.md").read_text()
    codes = named(r'(?:not_run|Refusal)\(\s*"(\w+)"')
    assert {each for each in codes if f"`{each}`" not in page} == set()


def test_every_page_is_in_the_index():
    index = (ROOT / "docs" / "index.md").read_text()
    pages = [str(page.relative_to(ROOT / "docs")) for page in ROOT.glob("docs/**/*.md")]
    assert [page for page in pages if page not in index and page != "index.md"] == []


def test_the_settings_page_is_made_from_the_settings():
    assert (ROOT / "docs" / "settings.md").read_text() == settings_reference()


def test_every_module_says_what_it_gives_out():
    silent = [
        file.name
        for file in SOURCES
        if "__all__" not in file.read_text() and file.name != "__main__.py"
    ]
    assert silent == ["__init__.py"]  # the generated peers package
