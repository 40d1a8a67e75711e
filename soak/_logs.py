"""What a gateway's log says: failures that nothing caught, bars, lines a second."""

from collections import Counter
from collections.abc import Iterable
from datetime import datetime

from soak._records import EndpointChosen, EndpointTold, RequestBarred

__all__ = ["bars", "choices", "failures", "most_lines_a_second", "told"]

_FAILURES = ("unhandled_failure", "task_failed", "Traceback", "follow_failed")
_TOLD = frozenset({"endpoint_leaving", "endpoint_missing", "endpoint_gone"})
# Of each kind and log.
_MOST_FAILURES = 3
# The length of a line's beginning up to its second.
_SECOND = len("time=2026-01-01T00:00:00")


def failures(name: str, lines: list[str]) -> list[str]:
    """The first lines of each kind that tell of a broken invariant."""
    return [
        f"{name}: {line}"
        for word in _FAILURES
        for line in [each for each in lines if word in each][:_MOST_FAILURES]
    ]


def most_lines_a_second(lines: Iterable[str]) -> int:
    """How many lines the busiest second has."""
    seconds = Counter(each[:_SECOND] for each in lines if each.startswith("time="))
    return max(seconds.values(), default=0)


def bars(name: str, lines: Iterable[str], epoch_s: float) -> list[RequestBarred]:
    """What a gateway barred; ``epoch_s`` is when the steady clock was 0."""
    found: list[RequestBarred] = []
    for line in lines:
        if " event=request_barred " not in line:
            continue
        fields = _fields(line)
        at_s = _at_s(fields, epoch_s)
        servers = (each.partition("/")[0] for each in fields["endpoints"].split(","))
        fingerprint = fields["fingerprint"]
        found.append(RequestBarred(name, fingerprint, tuple(servers), at_s))
    return found


def told(name: str, lines: Iterable[str], epoch_s: float) -> list[EndpointTold]:
    """When an instance learned that servers leave; ``epoch_s`` as for `bars`."""
    return [
        EndpointTold(name, fields["endpoint"], _at_s(fields, epoch_s))
        for fields in (_fields(each) for each in lines if " event=endpoint_" in each)
        if fields["event"] in _TOLD
    ]


def choices(name: str, lines: Iterable[str]) -> list[EndpointChosen]:
    """The servers to which an instance sent requests."""
    chosen = (_fields(each) for each in lines if " event=endpoint_chosen " in each)
    return [EndpointChosen(name, each["request"], each["endpoint"]) for each in chosen]


def _fields(line: str) -> dict[str, str]:
    return dict(each.split("=", 1) for each in line.split() if "=" in each)


def _at_s(fields: dict[str, str], epoch_s: float) -> float:
    return datetime.fromisoformat(fields["time"]).timestamp() - epoch_s
