"""Messages between members about rollouts: their encoding and decoding.

Owns the format of the datagrams: a one-letter prefix that other messages don't have,
then JSON of bounded size, whose fields are checked when it is decoded. Relies on
`coursekeel.strict` and orjson; does no I/O.
"""

from collections.abc import Iterable, Iterator
from typing import Any

import attrs
import orjson
from attrs import evolve, field, frozen

from coursekeel.canary._model import Phase, Side
from coursekeel.canary._tally import ROUTE_ROWS, RowKey, Tally
from coursekeel.forwarding import StorePosition
from coursekeel.group import MAX_MESSAGE_BYTES
from coursekeel.strict import faults_of, message_converter

__all__ = [
    "ROLLOUT_PREFIX",
    "RolloutDecision",
    "RolloutMessage",
    "RolloutReport",
    "UnreadableRollout",
    "decode_rollout",
    "encode_decision",
    "encode_report",
]

# Neither JSON objects nor messages of the quarantine begin with this letter.
ROLLOUT_PREFIX = b"V"
_MAX_FAULT_CHARACTERS = 200
_BUCKETS = len(Tally().latencies)

RowTally = tuple[RowKey, Tally]


@frozen
class RolloutDecision:
    """A conductor's decision on a rollout, which all instances apply.

    ``position`` is the order's store position, ``share`` the new version's share of new
    requests in the phase `TRYING`, ``elapsed_ms`` the time since the order. The
    versions ``in_force`` before it are for instances that started later; empty if the
    conductor isn't sure of them.
    """

    sender: str
    pool: str
    target: str
    position: StorePosition
    phase: Phase
    share: float
    elapsed_ms: float
    in_force: tuple[str, ...] = ()


@frozen
class RolloutReport:
    """An instance's counters of a rollout so far.

    ``process_incarnation`` identifies the start of its process. ``old_runs`` is the
    number of its requests that still run at endpoints of the old version.
    """

    sender: str
    pool: str
    target: str
    position: StorePosition
    phase: Phase
    elapsed_ms: float
    process_incarnation: int
    old_runs: int
    rows: tuple[RowTally, ...]


RolloutMessage = RolloutDecision | RolloutReport


@frozen
class UnreadableRollout:
    """Data that can't be decoded; ``fault`` names the field and the problem."""

    fault: str


@frozen
class _RowForm:
    """A row as it is sent; ``latencies`` are pairs of a bucket and its count."""

    row: int
    side: str
    answers: int
    failed: int
    latencies: tuple[Any, ...] = ()


@frozen
class _Form:
    """A datagram; ``share`` is None in reports, and so tells them from decisions."""

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


def encode_decision(group: str, decision: RolloutDecision) -> bytes:
    """Encode a decision as a datagram."""
    form = _form(group, decision)
    return _datagram(evolve(form, share=decision.share, in_force=decision.in_force))


def encode_report(group: str, report: RolloutReport) -> Iterator[bytes]:
    """Encode a report as datagrams, each with as many rows as fit."""
    form = evolve(
        _form(group, report), life=report.process_incarnation, old_runs=report.old_runs
    )
    room_bytes = MAX_MESSAGE_BYTES - len(_datagram(form))
    batch: list[bytes] = []
    batch_bytes = 0
    for row in report.rows:
        encoded = orjson.dumps(attrs.asdict(_row_form(row)))
        row_bytes = len(encoded) + len(b",")
        if batch and batch_bytes + row_bytes > room_bytes:
            yield _datagram(form, batch)
            batch, batch_bytes = [], 0
        batch.append(encoded)
        batch_bytes += row_bytes
    yield _datagram(form, batch)


def _form(group: str, message: RolloutMessage) -> _Form:
    position = message.position
    return _Form(
        group,
        message.sender,
        message.pool,
        message.target,
        position.era,
        position.version,
        message.phase.value,
        round(message.elapsed_ms, 1),
    )


def _datagram(form: _Form, rows: Iterable[bytes] = ()) -> bytes:
    fields = attrs.asdict(form, filter=_is_set)
    fields["rows"] = [orjson.Fragment(row) for row in rows]
    return ROLLOUT_PREFIX + orjson.dumps(fields)


def _is_set(_field: Any, value: Any) -> bool:
    return value is not None


def _row_form(row: RowTally) -> _RowForm:
    (number, side), tally = row
    counts = tuple((b, n) for b, n in enumerate(tally.latencies) if n)
    return _RowForm(number, side.value, tally.answers, tally.failed, counts)


def decode_rollout(data: bytes) -> tuple[str, RolloutMessage] | UnreadableRollout:
    """Decode a datagram of `ROLLOUT_PREFIX`: its group and its message."""
    if len(data) > MAX_MESSAGE_BYTES:
        return UnreadableRollout(
            f"got {len(data)} bytes, expected at most {MAX_MESSAGE_BYTES}"
        )
    try:
        value = orjson.loads(data.removeprefix(ROLLOUT_PREFIX))
        form = _CONVERTER.structure(value, _Form)
        return form.group, _message_from_form(form)
    except Exception as failure:  # invalid data from a peer must not raise
        faults = "; ".join(faults_of(failure, whole="message"))
        return UnreadableRollout(faults[:_MAX_FAULT_CHARACTERS])


def _message_from_form(form: _Form) -> RolloutMessage:
    position, phase = StorePosition(form.era, form.version), Phase(form.phase)
    if form.share is not None:
        return RolloutDecision(
            form.sender,
            form.pool,
            form.target,
            position,
            phase,
            min(max(form.share, 0.0), 1.0),
            max(form.elapsed_ms, 0.0),
            form.in_force,
        )
    return RolloutReport(
        form.sender,
        form.pool,
        form.target,
        position,
        phase,
        max(form.elapsed_ms, 0.0),
        form.life,
        max(form.old_runs, 0),
        tuple(_row_from_form(row) for row in form.rows),
    )


def _row_from_form(form: _RowForm) -> RowTally:
    counts = [0] * _BUCKETS
    for pair in form.latencies:
        bucket, count = _bucket_count(pair)
        counts[bucket] = count
    good = form.answers - form.failed
    if not 0 <= form.row < ROUTE_ROWS or form.failed < 0 or sum(counts) != good:
        raise ValueError(f"rows: got inconsistent counters of row {form.row}")
    return (form.row, Side(form.side)), Tally(form.answers, form.failed, tuple(counts))


def _bucket_count(pair: Any) -> tuple[int, int]:
    bucket, count = pair
    if type(bucket) is not int or type(count) is not int:
        raise ValueError(f"latencies: got {pair!r}, expected two whole numbers")
    if not 0 <= bucket < _BUCKETS or count < 0:
        raise ValueError(f"latencies: got {pair!r}, expected a bucket and a count")
    return bucket, count
