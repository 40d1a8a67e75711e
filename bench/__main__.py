"""Run every measurement and write the results: ``make bench``.

JSON lines, a Markdown table and SVG plots go to ``bench/out``, which git ignores; what
a page quotes stands in docs/bench-summary.md with the commit that it came from.
"""

import json
import subprocess
import sys
import time
from pathlib import Path

import pygal

from bench import (
    capacity,
    control,
    delivery,
    faulted,
    membership,
    policy,
    quarantine,
    recovery,
    relay,
    resume,
    rollout,
    sending,
    sharing,
)

ROOT = Path(__file__).parent.parent
OUT = ROOT / "bench" / "out"


def main() -> None:
    OUT.mkdir(exist_ok=True)
    started = time.monotonic()
    found: dict[str, list[dict]] = {}
    for name, measure in (
        ("capacity", capacity.measure),
        ("policy", policy.measure),
        ("recovery", recovery.measure),
        ("membership", membership.measure),
        ("sharing", sharing.measure),
        ("quarantine", quarantine.measure),
        ("sending", sending.measure),
        ("rollout", rollout.measure),
        ("relay", lambda: relay.measure((80, 160, 320))),
        ("resume", lambda: resume.measure(runs=6)),
        ("delivery", lambda: delivery.measure(runs=5)),
        ("faulted", lambda: faulted.measure(rounds=5)),
        ("control", _control),
    ):
        found[name] = measure()
        print(f"{name}: {len(found[name])} rows, {_since(started)} s", flush=True)
    commit = _commit()
    lines = [
        json.dumps({"commit": commit, "measure": name, **row})
        for name, rows in found.items()
        for row in rows
    ]
    (OUT / "results.jsonl").write_text("\n".join(lines) + "\n")
    (OUT / "summary.md").write_text(_markdown(commit, found))
    _plots(found)
    print(f"written to {OUT.relative_to(ROOT)} in {_since(started)} s")


def _control() -> list[dict]:
    return [
        *control.idle(),
        control.changes(100),
        *control.leaving(5),
        control.store(),
    ]


def _since(started: float) -> int:
    return round(time.monotonic() - started)


def _commit() -> str:
    command = ["git", "describe", "--always", "--dirty"]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, check=False)
    return done.stdout.decode().strip() or "unknown"


def _markdown(commit: str, found: dict[str, list[dict]]) -> str:
    parts = [f"# Measured\n\nCommit {commit}, `make bench`, {sys.platform}, one run.\n"]
    for name, rows in found.items():
        parts.append(f"\n## {name}\n")
        shapes: dict[tuple, list[dict]] = {}
        for row in rows:
            shapes.setdefault(tuple(row), []).append(row)
        for columns, alike in shapes.items():
            parts.append(_table(columns, alike))
    return "\n".join(parts)


def _table(columns: tuple, rows: list[dict]) -> str:
    lines = ["| " + " | ".join(columns) + " |", "|" + " --- |" * len(columns)]
    for row in rows:
        lines.append("| " + " | ".join(_cell(row[each]) for each in columns) + " |")
    return "\n".join(lines) + "\n"


def _cell(value: object) -> str:
    if isinstance(value, dict):
        return ", ".join(f"{key} {_cell(each)}" for key, each in value.items())
    return f"{value:.4g}" if isinstance(value, float) else str(value)


def _plots(found: dict[str, list[dict]]) -> None:
    chart = pygal.Bar(title="Requests a second served in time", show_legend=True)
    cases = [row for row in found["policy"] if "goodput_a_s" in row]
    chart.x_labels = list(dict.fromkeys(row["case"] for row in cases))
    for way in ("router", "naive"):
        chart.add(way, [row["goodput_a_s"] for row in cases if row["way"] == way])
    (OUT / "goodput.svg").write_bytes(chart.render())
    chart = pygal.Bar(title="Resume latency at p95, milliseconds")
    rows = found["resume"]
    chart.x_labels = [
        f"{row['profile']} {row['fault']}" for row in rows if row["way"] == "entry"
    ]
    for way in ("entry", "entry_without_copies", "naive"):
        mine = [row["resume_ms"]["p95"] for row in rows if row["way"] == way]
        chart.add(way, mine)
    (OUT / "resume.svg").write_bytes(chart.render())
    chart = pygal.Bar(title="A zone dies: resume latency at p95, milliseconds")
    rows = found["recovery"]
    sizes = dict.fromkeys((row["endpoints"], row["streams"]) for row in rows)
    chart.x_labels = [f"{streams} at {endpoints}" for endpoints, streams in sizes]
    for way in ("copies", "no copies", "naive"):
        mine = [row["resume_ms"]["p95"] for row in rows if row["way"] == way]
        chart.add(way, mine)
    (OUT / "recovery.svg").write_bytes(chart.render())


main()
