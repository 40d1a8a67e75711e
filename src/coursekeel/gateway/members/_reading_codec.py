"""Encodes and decodes the table snapshots and updates that gateways send each other.

Members that wait for the same change receive the same rows, so the encoded rows are
cached: encoding a large configuration once per member would delay the last ones.

Owns the format: JSON, each field validated when it is decoded. Team keys are sent as
digests only, since a configuration holds nothing else here. Relies on
`coursekeel.strict` and orjson.
"""

from enum import Enum
from typing import Any

import attrs
import orjson
from attrs import define, field, frozen

from coursekeel.canary import RolloutOrder
from coursekeel.forwarding import (
    EndpointRecord,
    ForwardingConfiguration,
    Pool,
    PoolShare,
    RequestLimits,
    Route,
    StorePosition,
    Team,
)
from coursekeel.gateway._adapters import Removed, UnreadableEntry, VersionedEntry
from coursekeel.strict import faults_of, strict_converter

__all__ = [
    "RelayedTableRead",
    "TableReadEncoder",
    "UnreadableTableRead",
    "decode_table_read",
    "encode_table_read",
]

_MAX_FAULT_CHARACTERS = 200


@frozen
class RelayedTableRead:
    """A member's copy of a table, or the changes of it that were requested.

    ``held_ms`` is how long the member held the request, and ``age_ms`` the age of its
    last confirmation by the store when it responded, both by its own clock.
    ``failing``: it can't get a newer confirmation. ``whole``: the entries are the whole
    table, not changes.
    """

    position: StorePosition
    whole: bool
    held_ms: float
    age_ms: float
    failing: bool
    entries: tuple[VersionedEntry, ...]


@frozen
class UnreadableTableRead:
    """A response that can't be decoded; ``fault`` names the field and the error."""

    fault: str


@frozen
class _EntryForm:
    """One entry; exactly one of the last five fields is set."""

    moment: StorePosition
    configuration: ForwardingConfiguration | None = None
    endpoint: EndpointRecord | None = None
    order: RolloutOrder | None = None
    removed: Removed | None = None
    unreadable: UnreadableEntry | None = None


@frozen
class _ReadingForm:
    """The decoded form of a response; `TableReadEncoder` writes the same fields."""

    moment: StorePosition
    whole: bool
    held_ms: float
    age_ms: float
    failing: bool
    entries: tuple[_EntryForm, ...]


_CONVERTER = strict_converter(
    StorePosition,
    PoolShare,
    Route,
    Pool,
    Team,
    RequestLimits,
    ForwardingConfiguration,
    EndpointRecord,
    RolloutOrder,
    Removed,
    UnreadableEntry,
    _EntryForm,
    _ReadingForm,
)


@define(eq=False)
class TableReadEncoder:
    """Encodes responses for one table, and caches the last encoded rows."""

    _cached_entries: tuple[VersionedEntry, ...] = ()
    _encoded_entries: orjson.Fragment = field(factory=lambda: orjson.Fragment(b"[]"))

    def encode(self, table_read: RelayedTableRead) -> bytes:
        """The body of a response."""
        if table_read.entries != self._cached_entries:
            self._encoded_entries = orjson.Fragment(_encode_entries(table_read.entries))
            self._cached_entries = table_read.entries
        form = {
            "moment": {
                "era": table_read.position.era,
                "version": table_read.position.version,
            },
            "whole": table_read.whole,
            "held_ms": table_read.held_ms,
            "age_ms": table_read.age_ms,
            "failing": table_read.failing,
            "entries": self._encoded_entries,
        }
        return orjson.dumps(form)


def encode_table_read(table_read: RelayedTableRead) -> bytes:
    """The body of a response, without a cache of its rows."""
    return TableReadEncoder().encode(table_read)


def _encode_entries(entries: tuple[VersionedEntry, ...]) -> bytes:
    forms = [
        attrs.asdict(
            _form_from_versioned(versioned),
            filter=_is_set,
            value_serializer=_json_value,
        )
        for versioned in entries
    ]
    return orjson.dumps(forms)


def decode_table_read(body: bytes) -> RelayedTableRead | UnreadableTableRead:
    """Decode the body of a response; never raises."""
    try:
        form = _CONVERTER.structure(orjson.loads(body), _ReadingForm)
        entries = tuple(_versioned_from_form(entry_form) for entry_form in form.entries)
    except Exception as failure:  # any malformed input becomes a value
        faults = "; ".join(faults_of(failure, whole="reading"))
        return UnreadableTableRead(faults[:_MAX_FAULT_CHARACTERS])
    return RelayedTableRead(
        form.moment, form.whole, form.held_ms, form.age_ms, form.failing, entries
    )


def _form_from_versioned(versioned: VersionedEntry) -> _EntryForm:
    entry, position = versioned.entry, versioned.position
    match entry:
        case ForwardingConfiguration():
            return _EntryForm(position, configuration=entry)
        case EndpointRecord():
            return _EntryForm(position, endpoint=entry)
        case RolloutOrder():
            return _EntryForm(position, order=entry)
        case Removed():
            return _EntryForm(position, removed=entry)
        case UnreadableEntry():
            return _EntryForm(position, unreadable=entry)


def _versioned_from_form(form: _EntryForm) -> VersionedEntry:
    fields = (
        form.configuration,
        form.endpoint,
        form.order,
        form.removed,
        form.unreadable,
    )
    entries = [entry for entry in fields if entry is not None]
    if len(entries) != 1:
        raise ValueError(f"got {len(entries)} kinds of entry, expected 1")
    return VersionedEntry(entries[0], form.moment)


def _is_set(_field: Any, value: Any) -> bool:
    return value is not None


def _json_value(_owner: Any, _field: Any, value: Any) -> Any:
    if isinstance(value, Enum):
        return value.value
    return sorted(value) if isinstance(value, frozenset) else value
