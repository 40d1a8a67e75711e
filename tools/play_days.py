"""Play days on the users' bench, and compare two source trees by what they gave.

`own BENCH SITE WHY` plays every day of `bench/days` and prints a row for each.
`seeds BENCH SITE WHY --seeds 11,12 [--days a,b] [--tree DIR] [--small]` plays the
site's days (or a large site's small twins) with each seed, without charging processor
time, and prints the journal entry's path.
`compare BEFORE AFTER` pairs two such entries by day and seed. Each play writes its
entry into the `journal/` of the tree that it plays.
"""

import argparse
import subprocess
import sys
from pathlib import Path
from tempfile import TemporaryDirectory

from tools.comparison import compare, read_entry
from tools.site_variants import write_variant

__all__ = ["play", "play_seeds"]

ROOT = Path(__file__).parents[1]
_BROKEN = "broken"
# Days played side by side: half of the machine, so that nothing else waits.
_JOBS = 4


def play(bench: Path, site: Path, day: Path, why: str) -> str:
    """Play one day; returns the bench's own row and the rules that were broken."""
    command = [str(bench), "run", str(site), str(day), "--why", why]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    lines = (done.stdout + done.stderr).splitlines()
    rows = [line for line in lines if line.startswith(day.stem)]
    broken = [line for line in lines if _BROKEN in line.lower() and "worth" not in line]
    return "\n".join([*(rows or lines[-3:]), *broken])


def play_seeds(
    bench: Path,
    site: Path,
    why: str,
    seeds: list[int],
    days: list[str],
    tree: Path,
    small: bool = False,
    jobs: int = _JOBS,
) -> Path:
    """Play days by seeds on the tree's sources; returns the journal entry's path.

    ``small`` plays a large site's small twins; ``jobs`` days are played at once.
    Raises `RuntimeError` with the bench's last lines if it wrote none.
    """
    journal = tree / "journal"
    known = set(journal.glob("*.json"))
    with TemporaryDirectory() as folder:
        variant = write_variant(site, Path(folder), seeds, days)
        command = [str(bench), "score", str(variant), "--no-cpu", "--jobs", str(jobs)]
        command += ["--why", why, *(["--small"] if small else [])]
        done = subprocess.run(command, cwd=tree, capture_output=True, text=True)
    written = set(journal.glob("*.json")) - known
    if not written:
        last = (done.stdout + done.stderr).splitlines()[-3:]
        raise RuntimeError("no journal entry was written: " + " / ".join(last))
    return max(written)


def _play_own(given: argparse.Namespace) -> None:
    for day in sorted((ROOT / "bench" / "days").glob("*.toml")):
        row = play(given.bench.resolve(), given.site.resolve(), day, given.why)
        print(row, flush=True)


def _play_seeds(given: argparse.Namespace) -> None:
    seeds = [int(each) for each in given.seeds.split(",")]
    days = given.days.split(",") if given.days else []
    bench, site, tree = (
        each.resolve() for each in (given.bench, given.site, given.tree)
    )
    path = play_seeds(
        bench, site, given.why, seeds, days, tree, given.small, given.jobs
    )
    print(path)


def _compare(given: argparse.Namespace) -> None:
    found = compare(read_entry(given.before), read_entry(given.after))
    print("\n".join(found.lines()))


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="python -m tools.play_days")
    verbs = parser.add_subparsers(required=True)
    for name, run in (("own", _play_own), ("seeds", _play_seeds)):
        verb = verbs.add_parser(name)
        verb.add_argument("bench", type=Path)
        verb.add_argument("site", type=Path)
        verb.add_argument("why")
        verb.set_defaults(run=run)
        if run is _play_seeds:
            verb.add_argument("--seeds", required=True, help="numbers, by commas")
            verb.add_argument("--days", default="", help="names, by commas; else all")
            verb.add_argument("--tree", type=Path, default=ROOT)
            verb.add_argument("--small", action="store_true", help="small twins")
            verb.add_argument("--jobs", type=int, default=_JOBS, help="days at once")
    verb = verbs.add_parser("compare")
    verb.add_argument("before", type=Path)
    verb.add_argument("after", type=Path)
    verb.set_defaults(run=_compare)
    return parser


def main(arguments: list[str] | None = None) -> None:
    """Run one verb."""
    given = _parser().parse_args(arguments)
    given.run(given)


if __name__ == "__main__":
    main(sys.argv[1:])
