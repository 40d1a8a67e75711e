"""What members tell each other of roll-outs, and how it is written.

Owns the datagrams' form: a letter that tells them from others, then JSON, bounded in
size, each field checked where it is decoded. Relies on `coursekeel.strict` and orjson;
knows nothing of sockets.
"""

from collections.abc import Iterable, Iterator
from typing import Any

import attrs
import orjson
from attrs import evolve, field, frozen

from coursekeel.canary._model import Phase, Side
from coursekeel.canary._tally import ROUTE_ROWS, RowKey, Tally
from coursekeel.forwarding import StoreMoment
from coursekeel.group import MAX_MESSAGE_BYTES
from coursekeel.strict import faults_of, message_converter

__all__ = [
    "CANARY_MARK",
    "RolloutMessage",
    "RolloutReport",
    "Ruling",
    "UnreadableRollout",
    "decode_rollout",
    "encode_report",
    "encode_ruling",
]

# No JSON object begins with it.
CANARY_MARK = b"V"
# Enough of a fault for a log line.
_MAX_FAULT_CHARACTERS = 200
_BUCKETS = len(Tally().latencies)

Row = tuple[RowKey, Tally]


@frozen
class Ruling:
    """What a conducting member says of a roll-out.

    ``moment`` is the order's in the store; ``share`` of new requests may go to the new
    version while it is tried; ``elapsed_ms`` has passed since the order. The versions
    ``in_force`` before it are for who started since; none if they are a guess.
    """

    sender: str
    pool: str
    target: str
    moment: StoreMoment
    phase: Phase
    share: float
    elapsed_ms: float
    in_force: tuple[str, ...] = ()


@frozen
class RolloutReport:
    """What an instance has counted so far; ``life`` is of this start of its process.

    ``old_runs`` of its requests are at endpoints of the old version.
    """

    sender: str
    pool: str
    target: str
    moment: StoreMoment
    phase: Phase
    elapsed_ms: float
    life: int
    old_runs: int
    rows: tuple[Row, ...]


RolloutMessage = Ruling | RolloutReport


@frozen
class UnreadableRollout:
    """A datagram that is no message; ``fault`` names the field and what was wrong."""

    fault: str


@frozen
class _RowForm:
    """One row; ``latencies`` are pairs of a bucket and its count."""

    row: int
    side: str
    answers: int
    failed: int
    latencies: tuple[Any, ...] = ()


@frozen
class _Form:
    """One datagram; ``share`` is given by rulings alone."""

    group: str
    sender: str
    pool: str
    target: str
    era: int
    version: int
    phase: str
    elapsed_ms: float = field(metadata={"key": "elapsed_ms"})
    share: float | None = None
    life: int = 0
    old_runs: int = field(default=0, metadata={"key": "old_runs"})
    rows: tuple[_RowForm, ...] = ()
    in_force: tuple[str, ...] = field(default=(), metadata={"key": "in_force"})


_CONVERTER = message_converter(_RowForm, _Form)


def encode_ruling(group: str, ruling: Ruling) -> bytes:
    """The datagram of a ruling."""
    form = _form(group, ruling)
    return _encoded(evolve(form, share=ruling.share, in_force=ruling.in_force))


def encode_report(group: str, report: RolloutReport) -> Iterator[bytes]:
    """The datagrams of a report, each with as many rows as it bears."""
    form = evolve(_form(group, report), life=report.life, old_runs=report.old_runs)
    room = MAX_MESSAGE_BYTES - len(_encoded(form))
    taken: list[bytes] = []
    taken_bytes = 0
    for row in report.rows:
        encoded = orjson.dumps(attrs.asdict(_row_form(row)))
        row_bytes = len(encoded) + len(b",")
        if taken and taken_bytes + row_bytes > room:
            yield _encoded(form, taken)
            taken, taken_bytes = [], 0
        taken.append(encoded)
        taken_bytes += row_bytes
    yield _encoded(form, taken)


def _form(group: str, message: RolloutMessage) -> _Form:
    moment = message.moment
    return _Form(
        group,
        message.sender,
        message.pool,
        message.target,
        moment.era,
        moment.version,
        message.phase.value,
        round(message.elapsed_ms, 1),
    )


def _encoded(form: _Form, rows: Iterable[bytes] = ()) -> bytes:
    fields = attrs.asdict(form, filter=_is_told)
    fields["rows"] = [orjson.Fragment(each) for each in rows]
    return CANARY_MARK + orjson.dumps(fields)


def _is_told(_field: Any, value: Any) -> bool:
    return value is not None


def _row_form(row: Row) -> _RowForm:
    (number, side), tally = row
    counts = tuple((b, n) for b, n in enumerate(tally.latencies) if n)
    return _RowForm(number, side.value, tally.answers, tally.failed, counts)


def decode_rollout(data: bytes) -> tuple[str, RolloutMessage] | UnreadableRollout:
    """Read a datagram that begins with `CANARY_MARK`: its group, and what it says."""
    if len(data) > MAX_MESSAGE_BYTES:
        return UnreadableRollout(
            f"got {len(data)} bytes, expected at most {MAX_MESSAGE_BYTES}"
        )
    try:
        value = orjson.loads(data.removeprefix(CANARY_MARK))
        form = _CONVERTER.structure(value, _Form)
        return form.group, _message_of(form)
    except Exception as failure:  # whatever a peer sends is a value here
        faults = "; ".join(faults_of(failure, whole="message"))
        return UnreadableRollout(faults[:_MAX_FAULT_CHARACTERS])


def _message_of(form: _Form) -> RolloutMessage:
    moment, phase = StoreMoment(form.era, form.version), Phase(form.phase)
    if form.share is not None:
        return Ruling(
            form.sender,
            form.pool,
            form.target,
            moment,
            phase,
            min(max(form.share, 0.0), 1.0),
            max(form.elapsed_ms, 0.0),
            form.in_force,
        )
    return RolloutReport(
        form.sender,
        form.pool,
        form.target,
        moment,
        phase,
        max(form.elapsed_ms, 0.0),
        form.life,
        max(form.old_runs, 0),
        tuple(_row_of(each) for each in form.rows),
    )


def _row_of(form: _RowForm) -> Row:
    counts = [0] * _BUCKETS
    for pair in form.latencies:
        bucket, count = _bucket_count(pair)
        counts[bucket] = count
    good = form.answers - form.failed
    if not 0 <= form.row < ROUTE_ROWS or form.failed < 0 or sum(counts) != good:
        raise ValueError(f"rows: got counters that can't be of row {form.row}")
    return (form.row, Side(form.side)), Tally(form.answers, form.failed, tuple(counts))


def _bucket_count(pair: Any) -> tuple[int, int]:
    bucket, count = pair
    if type(bucket) is not int or type(count) is not int:
        raise ValueError(f"latencies: got {pair!r}, expected two whole numbers")
    if not 0 <= bucket < _BUCKETS or count < 0:
        raise ValueError(f"latencies: got {pair!r}, expected a bucket and a count")
    return bucket, count
