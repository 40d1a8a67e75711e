"""Cores decide without sockets, clocks or global randomness."""

import ast
import re
from pathlib import Path

import pytest

SOURCE = Path(__file__).parents[2] / "src" / "coursekeel"
CORES = (
    "answers",
    "calls",
    "canary",
    "charts",
    "explain",
    "forwarding",
    "intents",
    "limits",
    "membership",
    "quarantine",
    "reach",
    "routing",
)
PURE_FILES = [
    *(file for room in CORES for file in (SOURCE / room).glob("*.py")),
    *(SOURCE / "endpoints").glob("_[!h]*.py"),
]
FORBIDDEN = {
    "asyncio",
    "grpc",
    "http",
    "klein",
    "os",
    "select",
    "socket",
    "subprocess",
    "threading",
    "time",
    "treq",
    "twisted",
    "uuid",
}


@pytest.mark.parametrize("file", PURE_FILES, ids=lambda file: str(file.name))
def test_core_imports_nothing_that_does_io(file: Path) -> None:
    tree = ast.parse(file.read_text())
    imported = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            imported |= {each.name.split(".")[0] for each in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            imported.add(node.module.split(".")[0])
            if node.module == "random":
                assert {each.name for each in node.names} <= {"Random"}
    assert not imported & FORBIDDEN


def test_only_the_clock_and_the_log_read_the_systems_clocks() -> None:
    """Another clock may stand still while the machine is suspended."""
    importing = {
        file.name
        for file in SOURCE.rglob("*.py")
        if re.search(r"^(import|from) time\b", file.read_text(), re.MULTILINE)
    }
    assert importing == {"_clock.py", "_logs.py"}, "the log stamps its lines"
