"""What was sent, answered and run, with times in seconds since the start."""

import time
from pathlib import Path
from typing import Any


class Record:
    """The events of one run of a case, in order; `write` puts them into a file."""

    def __init__(self) -> None:
        self._began_s = time.monotonic()
        self._lines: list[str] = []

    def now_s(self) -> float:
        """The seconds since the record began."""
        return time.monotonic() - self._began_s

    def add(self, what: str, **fields: Any) -> None:
        """Add one event."""
        pairs = " ".join(f"{name}={value}" for name, value in fields.items())
        self._lines.append(f"{self.now_s():8.3f} {what} {pairs}".rstrip())

    def say(self, text: str) -> None:
        """Add a line of the verdict, and print it."""
        self._lines.append(text)
        print(text, flush=True)

    def write(self, path: Path) -> None:
        """Write all lines."""
        path.write_text("\n".join(self._lines) + "\n")
