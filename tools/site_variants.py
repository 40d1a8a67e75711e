"""A copy of a site file whose days are played with several seeds each.

One seed of a day scatters by a tenth of its worth, so that a change of policy shows
only over several. The bench scores a file's days side by side; a copy that holds each
day once for every seed makes one run of them. Owns nothing; relies on the form in which
site files write their days.
"""

import re
import shutil
from collections.abc import Sequence
from pathlib import Path

__all__ = ["write_variant"]

_DAY = "[[day]]\n"
_NAME = re.compile(r'^name = "(.*?)"', re.MULTILINE)
_SEED = re.compile(r"^seed = \d+", re.MULTILINE)
# What lies beside a site file and belongs to it.
_BESIDE = ("wire.json", "*.days", "CUT")


def write_variant(
    site: Path, folder: Path, seeds: Sequence[int], days: Sequence[str] = ()
) -> Path:
    """Write the copy into ``folder``; ``days`` empty means all of them.

    Raises `ValueError` if the site has none of the days.
    """
    head, *blocks = site.read_text(encoding="utf-8").split(_DAY)
    chosen = [each for each in blocks if not days or _name_of(each) in days]
    if not chosen:
        names = ", ".join(_name_of(each) for each in blocks)
        raise ValueError(f"days: got {', '.join(days)}, expected some of: {names}")
    folder.mkdir(parents=True, exist_ok=True)
    _copy_beside(site, folder)
    variant = folder / site.name
    played = [_DAY + _with_seed(block, seed) for block in chosen for seed in seeds]
    variant.write_text(head + "".join(played), encoding="utf-8")
    return variant


def _name_of(block: str) -> str:
    found = _NAME.search(block)
    return found.group(1) if found else ""


def _with_seed(block: str, seed: int) -> str:
    name = f'name = "{_name_of(block)}-s{seed}"'
    renamed = _NAME.sub(name, block, count=1)
    return _SEED.sub(f"seed = {seed}", renamed, count=1)


def _copy_beside(site: Path, folder: Path) -> None:
    for pattern in _BESIDE:
        for each in site.parent.glob(pattern):
            # The contents only: the originals may be read-only.
            shutil.copyfile(each, folder / each.name)
