"""The exceptions that coursekeel raises.

They signal misuse, which the user can correct, and broken invariants, which stop the
process. Failures expected in operation (a refused connection, a store outage, a lost
race) are return values instead.
"""

__all__ = [
    "ChartError",
    "CoursekeelError",
    "InvariantBroken",
    "LogUnreadable",
    "RequestInvalid",
    "SettingsInvalid",
]


class CoursekeelError(Exception):
    """The base class of all exceptions raised by coursekeel."""


class SettingsInvalid(CoursekeelError):
    """The settings file is invalid; the message lists every fault in it."""


class RequestInvalid(CoursekeelError):
    """A request of a caller or an operator is invalid.

    ``path`` is the path of the invalid field in the request.
    """

    def __init__(self, path: str, message: str) -> None:
        super().__init__(f"{path}: {message}" if path else message)
        self.path = path


class LogUnreadable(CoursekeelError):
    """A log file given on the command line can't be read."""


class ChartError(CoursekeelError):
    """A state chart is incomplete or refers to an undefined state."""


class InvariantBroken(CoursekeelError):
    """An invariant doesn't hold, such as an input that a chart lists as impossible."""
