"""Print the history of one request from logs."""

import sys
from collections.abc import Iterable, Iterator
from pathlib import Path

from coursekeel.errors import LogUnreadable
from coursekeel.explain import explain

__all__ = ["explain_request"]

_EXIT_NOT_FOUND = 1  # as grep does


def explain_request(request_id: str, logs: Iterable[Path]) -> int:
    """Print the request's log lines and its outcome; returns the exit code."""
    files = list(logs)
    texts = _read_lines(files) if files else iter(sys.stdin)
    explanation = explain(request_id, texts)
    for line in explanation.lines:
        print(line.text)
    print(explanation.cause)
    return 0 if explanation.lines else _EXIT_NOT_FOUND


def _read_lines(files: Iterable[Path]) -> Iterator[str]:
    for file in files:
        try:
            with file.open(encoding="utf-8", errors="replace") as lines:
                yield from lines
        except OSError as failure:
            raise LogUnreadable(f"{file}: can't be read: {failure.strerror}") from None
