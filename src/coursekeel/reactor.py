"""The type of Twisted's reactor in annotations.

Twisted declares its reactors as zope interfaces, which mypy doesn't support. At run
time the value is ``twisted.internet.reactor``.
"""

from typing import Any

__all__ = ["Reactor"]

Reactor = Any
