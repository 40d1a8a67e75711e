"""The type of Twisted's reactor, as far as the checker is concerned.

Twisted declares its reactors by zope interfaces, which mypy can't follow; what is
passed around under this name is ``twisted.internet.reactor``.
"""

from typing import Any

__all__ = ["Reactor"]

Reactor = Any
