"""What a soak found: a summary in JSON, the logs, and a picture of its recovery."""

from collections import Counter
from pathlib import Path

import attrs
import orjson
import pygal

from soak._leaving_checks import starts_once_told
from soak._play import Played
from soak._records import CallRecord, Evidence
from soak._schedule import write_schedule

__all__ = ["summary", "write_report"]

_OK = 200
_NEARLY_LATE_S = 1.9


def summary(played: Played) -> dict[str, object]:
    """Figures for people and for pages."""
    seen = played.evidence
    return {
        "seed": played.schedule.seed,
        "gateways": played.schedule.gateways,
        "seconds": played.schedule.seconds,
        "faults": dict(Counter(each.kind.value for each in played.schedule.faults)),
        "calls": dict(Counter(_outcome(each) for each in seen.calls)),
        "server_runs": len(seen.runs),
        "left": len(seen.left),
        "starts_once_told": _after(seen),
        "whole_again_s": [each and round(each, 2) for each in seen.whole_again_s],
        "memory_mb": round(seen.memory_mb, 1),
        "descriptors": seen.descriptors,
        "log_lines_s": seen.log_lines_s,
        "violations": [attrs.asdict(each) for each in played.violations],
    }


def _after(seen: Evidence) -> dict[str, float]:
    """How long after an instance knew of leavings it sent requests on, in s."""
    after_s = [each.after_s for each in starts_once_told(seen)]
    return {
        "count": len(after_s),
        "over_1_9_s": sum(each > _NEARLY_LATE_S for each in after_s),
        "latest_s": round(max(after_s, default=0.0), 2),
    }


def write_report(played: Played, folder: Path) -> None:
    """Write the summary, the schedule, the picture and, after a finding, the logs."""
    folder.mkdir(parents=True, exist_ok=True)
    name = f"seed-{played.schedule.seed}"
    text = orjson.dumps(summary(played), option=orjson.OPT_INDENT_2)
    (folder / f"{name}.json").write_bytes(text)
    write_schedule(played.schedule, folder / f"{name}.schedule.json")
    _picture(played).render_to_file(str(folder / f"{name}.svg"))
    if played.violations:
        for log, lines in played.logs.items():
            (folder / f"{name}-{log}").write_text(lines)


def _outcome(call: CallRecord) -> str:
    if call.timed_out:
        return "timed_out"
    if call.status == _OK:
        return "served" if call.whole else "cut"
    if call.status in (408, 421, 429, 503):
        return "refused"
    return "no_answer" if call.status == 0 else f"status_{call.status}"


def _picture(played: Played) -> pygal.Bar:
    """Calls by the second in which they ended; faults are named under their second."""
    seconds = int(played.schedule.seconds) + 1
    by_second: dict[str, Counter[int]] = {}
    for call in played.evidence.calls:
        second = int(call.ended_s - played.began_s)
        by_second.setdefault(_outcome(call), Counter())[second] += 1
    chart = pygal.StackedBar(
        title=f"seed {played.schedule.seed}: calls by second",
        x_label_rotation=90,
        show_minor_x_labels=True,
    )
    faults = {int(each.at_s): each.kind.value for each in played.schedule.faults}
    chart.x_labels = [faults.get(second, str(second)) for second in range(seconds)]
    for outcome in sorted(by_second):
        counts = by_second[outcome]
        chart.add(outcome, [counts[second] for second in range(seconds)])
    return chart
