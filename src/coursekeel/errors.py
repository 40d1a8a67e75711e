"""Every exception that coursekeel raises.

Outcomes that can happen in service (a refused connection, a store outage, a lost
race) are values and do not stand here. What stands here is misuse, which the person
at the keyboard can mend, and broken invariants, which stop the process.
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
    """The root of all exceptions raised by coursekeel."""


class SettingsInvalid(CoursekeelError):
    """A settings file that can't be used; the message names every fault in it."""


class RequestInvalid(CoursekeelError):
    """A caller's or operator's request that can't be used.

    ``path`` is the path of the field at fault, in the request as it was sent.
    """

    def __init__(self, path: str, message: str) -> None:
        super().__init__(f"{path}: {message}" if path else message)
        self.path = path


class LogUnreadable(CoursekeelError):
    """A log file that was named and can't be read."""


class ChartError(CoursekeelError):
    """A state chart that is incomplete or names what doesn't exist."""


class InvariantBroken(CoursekeelError):
    """Something happened that the state charts call impossible."""
