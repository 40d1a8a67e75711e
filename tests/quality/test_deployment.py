"""What the users' platform is given: a small folder, its lock file, and no more."""

import ast
import sys
from pathlib import Path

import pytest

from tools.gateway_lock import GATEWAY_PACKAGES, gateway_lock

ROOT = Path(__file__).parents[2]
# The platform's own names, and the product's words for them stand in docs/glossary.md.
PLATFORM_NAMES = (
    "coursekeel/ready",
    "coursekeel/report",
    "expect-instance",
    "kv-backup",
    "kv-from",
    "not-executed",
    "op/config",
    "prefix-hash",
    "response-signature",
    "rows-feed",
    "rows-get",
    "rows-tx",
    "server-limit",
    "token-usage",
)
OUTSIDE = ("src", "standins", "demo", "bench", "tests/cover", "tests/nocover")
IMPORTED_AS = {"zope-interface": "zope", "typing-extensions": "typing_extensions"}


def test_the_gateways_lock_is_made_from_the_runtimes():
    runtime = (ROOT / "requirements-runtime.lock").read_text()
    assert (ROOT / "requirements-gateway.lock").read_text() == gateway_lock(runtime)


@pytest.mark.parametrize("folder", OUTSIDE)
def test_no_name_of_the_platform_stands_outside_its_folder(folder):
    for file in (ROOT / folder).rglob("*.py"):
        text = file.read_text().lower()
        assert [each for each in PLATFORM_NAMES if each in text] == [], file


def test_the_platforms_folder_holds_no_decision():
    """It imports nothing that decides, waits or opens a socket by itself."""
    # attrs holds data, and of http only the names of statuses are used.
    allowed = {"coursekeel", "orjson", "base64", "os", "pathlib", "sys", "typing"}
    allowed |= {"attrs", "collections"}
    for file in (ROOT / "platform").glob("*.py"):
        for node in ast.walk(ast.parse(file.read_text())):
            if isinstance(node, ast.ImportFrom):
                name = node.module or ""
                ours = name.startswith(("_", "coursekeel."))
                names = {each.name for each in node.names}
                status = name == "http" and names == {"HTTPStatus"}
                known = name.split(".")[0] in {*allowed, "urllib"}
                assert ours or known or status, file
                assert not name.startswith("coursekeel.routing"), file
            elif isinstance(node, ast.Import):
                for each in node.names:
                    assert each.name.startswith("_") or each.name in allowed, file


def test_a_gateway_imports_nothing_beyond_its_lock():
    source = (
        "import sys; sys.path[:0] = ['platform', 'src'];"
        "sys.modules['OpenSSL'] = None;"
        "from coursekeel.runtime import install_reactor; install_reactor();"
        "import coursekeel.gateway, coursekeel.settings, _store, _callers, _endpoints;"
        "print(*{n.split('.')[0] for n, module in sys.modules.items() if module})"
    )
    import subprocess

    done = subprocess.run(
        [sys.executable, "-c", source], cwd=ROOT, capture_output=True, check=True
    )
    locked = {IMPORTED_AS.get(each, each) for each in GATEWAY_PACKAGES}
    locked |= {"attr", "_yaml", "quantile"}
    present = {each for each in done.stdout.decode().split() if _is_installed(each)}
    harness = {"coursekeel", "__main__", "_distutils_hack"}
    assert present - locked - harness == set()


def _is_installed(name: str) -> bool:
    """Say whether a module came from an installed package."""
    import importlib.util

    try:
        spec = importlib.util.find_spec(name)
    except (ImportError, ValueError):
        return False
    return bool(spec and spec.origin and "site-packages" in spec.origin)
