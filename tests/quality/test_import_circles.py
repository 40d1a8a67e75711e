"""No two modules need each other, not even for their types."""

import ast
from graphlib import CycleError, TopologicalSorter
from pathlib import Path

SOURCE = Path(__file__).parents[2] / "src"


def name_of(file: Path) -> str:
    parts = file.relative_to(SOURCE).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


def imported_by(file: Path, modules: set[str]) -> set[str]:
    found = set()
    for node in ast.walk(ast.parse(file.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module in modules:
            inner = {f"{node.module}.{each.name}" for each in node.names}
            found |= (inner & modules) or {node.module}
        elif isinstance(node, ast.Import):
            found |= {each.name for each in node.names} & modules
    return found


def test_imports_form_no_circle() -> None:
    files = {name_of(file): file for file in SOURCE.rglob("*.py")}
    needs = {name: imported_by(file, set(files)) for name, file in files.items()}
    try:
        TopologicalSorter(needs).prepare()
    except CycleError as found:
        raise AssertionError(" imports ".join(found.args[1])) from None
