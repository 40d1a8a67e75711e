"""What the pages name still exists: modules, constants, tests, metrics, events."""

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
SOURCE = ROOT / "src" / "coursekeel"
PAGES = sorted(ROOT.glob("docs/**/*.md"))
CODE = [
    file
    for folder in ("src", "platform", "tests", "bench", "tools")
    for file in (ROOT / folder).rglob("*.py")
    if "peer_pb2" not in file.name
]
TEXT = {file: file.read_text() for file in CODE}
# Paths are written from the root, from the sources, or from within the gateway.
BASES = (ROOT, SOURCE, ROOT / "tests", SOURCE / "gateway")
MODULES = [file for file in CODE if SOURCE in file.parents]


def named(page: Path, pattern: str) -> set[str]:
    return set(re.findall(pattern, page.read_text()))


def name_of(page: Path) -> str:
    return str(page.relative_to(ROOT))


@pytest.mark.parametrize("page", PAGES, ids=name_of)
def test_each_module_that_a_page_names_exists(page):
    paths = named(page, r"`([\w./-]+\.(?:py|toml|json|proto))`")
    missing = [
        each for each in paths if not any((base / each).is_file() for base in BASES)
    ]
    assert missing == []


@pytest.mark.parametrize("page", PAGES, ids=name_of)
def test_each_test_that_a_page_names_exists(page):
    """A name that ends in an ellipsis stands for those that begin so."""
    tests = "\n".join(text for file, text in TEXT.items() if "tests" in file.parts)
    names = named(page, r"`(?:[\w/]+\.py::)?(test_\w+|Test[A-Z]\w+)(…?)`")
    missing = [
        name
        for name, cut in names
        if not re.search(
            rf"^(?:def |class |){name}" + ("" if cut else r"\b"), tests, re.M
        )
    ]
    assert missing == []


@pytest.mark.parametrize("page", PAGES, ids=name_of)
def test_each_metric_that_a_page_names_exists(page):
    source = "\n".join(text for file, text in TEXT.items() if SOURCE in file.parents)
    metrics = named(page, r"`(coursekeel_\w+?)`")
    assert [each for each in metrics if f'"{each}"' not in source] == []


@pytest.mark.parametrize("page", PAGES, ids=name_of)
def test_each_class_that_a_page_names_exists(page):
    code = "\n".join(TEXT.values())
    names = named(page, r"`(?:\w+\.)?([A-Z][a-z]+(?:[A-Z][a-z]+)+)(?:\.\w+)?`")
    missing = [each for each in names if not re.search(rf"\b{each}\b", code)]
    assert missing == []


def decisions() -> list[list[str]]:
    page = (ROOT / "docs" / "decisions.md").read_text()
    rows = [line for line in page.splitlines() if line.startswith("| ")]
    return [[cell.strip() for cell in row.strip("|").split("|")] for row in rows[2:]]


@pytest.mark.parametrize("row", decisions(), ids=lambda row: row[0])
def test_each_decision_names_its_module_and_constants_that_exist(row):
    modules = re.findall(r"`([\w/]+\.py)`", row[2])
    assert modules
    assert all(any((base / each).is_file() for base in BASES) for each in modules)
    source = "\n".join(text for file, text in TEXT.items() if SOURCE in file.parents)
    for constant in re.findall(r"`(_?[A-Z][A-Z_0-9]+)`", row[3]):
        assert re.search(rf"^{constant}\b.* = ", source, re.M), constant


def test_each_event_of_the_table_of_failures_is_written():
    page = (ROOT / "docs" / "architecture.md").read_text()
    table = page.partition("## When a dependency fails")[2]
    rows = [line.split("|") for line in table.splitlines() if line.startswith("| ")]
    events = {
        each for row in rows for each in re.findall(r"`([a-z]+_[a-z_]+)`", row[4])
    }
    source = "\n".join(text for file, text in TEXT.items() if SOURCE in file.parents)
    outcomes = {"no_report", "retry_budget", "not_back"}
    metrics = {each for each in events if each.startswith("coursekeel_")}
    written = set(re.findall(r'log_event\(\s*"(\w+)"', source))
    assert events - written - metrics - outcomes == set()


@pytest.mark.parametrize(
    "file", MODULES, ids=lambda file: str(file.relative_to(SOURCE))
)
def test_each_module_begins_with_what_it_is_for(file):
    doc = ast.get_docstring(ast.parse(TEXT[file]))
    if file.name == "__init__.py" and not TEXT[file].strip():
        return
    assert doc and doc.splitlines()[0].endswith((".", "?")), "one sentence"
