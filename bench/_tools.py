"""What the measurements share: processes' time, readers, percentiles."""

import json
import os
import statistics
import subprocess
import sys
from itertools import pairwise
from pathlib import Path

from standins.site import Process, Site

_TICKS_A_SECOND = os.sysconf("SC_CLK_TCK")
ROOT = Path(__file__).parent.parent


def processor_s(process: Process) -> float:
    fields = Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_A_SECOND


def memory_bytes(process: Process) -> int:
    status = Path(f"/proc/{process.pid}/status").read_text()
    line = next(each for each in status.splitlines() if each.startswith("VmRSS"))
    return int(line.split()[1]) * 1024


def read_streams(ports: list[int], streams: int, tokens: int, *options: str) -> dict:
    command = [sys.executable, "-m", "bench.reader", "--ports", *map(str, ports)]
    command += ["--streams", str(streams), "--tokens", str(tokens), *options]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, check=True)
    return json.loads(done.stdout)


def percentiles(values: list[float]) -> dict[str, float]:
    if len(values) < 2:
        return {"n": len(values), "p50": values[0] if values else 0.0}
    cuts = statistics.quantiles(values, n=100, method="inclusive")
    return {"n": len(values), "p50": cuts[49], "p95": cuts[94], "p99": cuts[98]}


def ports_of(site: Site, kind: str) -> list[int]:
    return [each.port for each in getattr(site, kind).values()]


def longest_ms(times: list[float]) -> float:
    gaps = [after - before for before, after in pairwise(times)]
    return max(gaps, default=0.0) * 1000
