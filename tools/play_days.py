"""Play every day of `bench/days` on a site, and print a row for each.

`python -m tools.play_days BENCH SITE WHY`: the users' bench, one of its site files, and
what the run is for. Each play writes its entry into `journal/`.
"""

import subprocess
import sys
from pathlib import Path

__all__ = ["play"]

ROOT = Path(__file__).parents[1]
_BROKEN = "broken"


def play(bench: Path, site: Path, day: Path, why: str) -> str:
    """Play one day; returns the bench's own row and the rules that were broken."""
    command = [str(bench), "run", str(site), str(day), "--why", why]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    lines = (done.stdout + done.stderr).splitlines()
    rows = [line for line in lines if line.startswith(day.stem)]
    broken = [line for line in lines if _BROKEN in line.lower() and "worth" not in line]
    return "\n".join([*(rows or lines[-3:]), *broken])


def main() -> None:
    """Play all of them."""
    bench, site, why = Path(sys.argv[1]), Path(sys.argv[2]), sys.argv[3]
    for day in sorted((ROOT / "bench" / "days").glob("*.toml")):
        print(play(bench.resolve(), site.resolve(), day, why), flush=True)


if __name__ == "__main__":
    main()
