"""Build the one-file program ``dist/coursekeel`` with shiv."""

import shutil
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent
PACKAGES = ROOT / "build" / "packages"
PROGRAM = ROOT / "dist" / "coursekeel"


def main() -> None:
    """Gather the locked packages and the project, and pack them."""
    shutil.rmtree(PACKAGES, ignore_errors=True)
    PROGRAM.parent.mkdir(exist_ok=True)
    pip = [sys.executable, "-m", "pip", "install", "-q", "--target", str(PACKAGES)]
    locked = str(ROOT / "requirements-runtime.lock")
    subprocess.run([*pip, "--require-hashes", "-r", locked], check=True)
    subprocess.run([*pip, "--no-deps", "--no-build-isolation", str(ROOT)], check=True)
    pack = [sys.executable, "-m", "shiv", "--site-packages", str(PACKAGES)]
    entry = ["-e", "coursekeel.cli:main", "-o", str(PROGRAM), "--compressed"]
    python = ["-p", "/usr/bin/env python3"]
    subprocess.run([*pack, *entry, *python], check=True)
    print(f"{PROGRAM.relative_to(ROOT)}: {PROGRAM.stat().st_size >> 20} MiB")


main()
