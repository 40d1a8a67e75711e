"""Reads the items of a list one by one: one that can't be read costs only itself.

Rule: whatever reading one item raises, the other items are used. Its reader has an
error of its own for a malformed item; any other exception is a bug, and is logged
with its traceback. Owns no state.
"""

import logging
from collections.abc import Callable, Iterable, Iterator
from traceback import format_exception
from typing import Any, TypeVar

from coursekeel.observe import log_event

__all__ = ["log_unreadable", "read_each"]

# Longer texts are cut, to keep log lines short.
_MAX_ITEM_CHARACTERS = 200

_Item = TypeVar("_Item")


def read_each(
    table: str,
    rows: Iterable[Any],
    read: Callable[[Any], _Item],
    malformed: type[Exception],
    replace: Callable[[Any, str], _Item],
) -> Iterator[_Item]:
    """Read each row of a table; yield ``replace(row, fault)`` for one that fails.

    ``read`` raises ``malformed`` for a malformed row.
    """
    for row in rows:
        try:
            item = read(row)
        except malformed as fault:
            item = replace(row, str(fault))
        except Exception as failure:
            _log_bug(table, row, failure)
            item = replace(row, f"{type(failure).__name__} in reading it")
        yield item


def log_unreadable(table: str, row: Any, fault: str) -> None:
    """Log a row that is left out."""
    log_event(
        "row_unreadable", logging.WARNING, table=table, key=_text(row), fault=fault
    )


def _log_bug(table: str, row: Any, failure: Exception) -> None:
    error = "".join(format_exception(failure))
    log_event("row_failed", logging.ERROR, table=table, row=_text(row), error=error)


def _text(row: Any) -> str:
    return ascii(row)[:_MAX_ITEM_CHARACTERS]
