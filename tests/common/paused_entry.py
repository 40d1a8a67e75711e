"""An entry that pauses itself at a chosen point of a token's path to its caller.

`python -m tests.common.paused_entry POINT --settings FILE` runs an entry. SIGUSR1 arms
it; the next time that the point is reached the process sends itself SIGSTOP, until it
receives SIGCONT.
"""

import functools
import os
import signal
import sys
from pathlib import Path

from attrs import define

__all__ = ["OWN_CALLER_POINTS", "RELAY_POINTS", "WHOLE_ANSWER_POINT"]

# In the order of a token's path. The last of each comes right before the system or
# library call that sends the bytes.
OWN_CALLER_POINTS = (
    "line_read",
    "token_taken",
    "right_asked",
    "written",
    "loop_writes",
)
RELAY_POINTS = ("reply_made", "reply_taken")
WHOLE_ANSWER_POINT = "body_written"


@define
class _Stop:
    armed: bool = False

    def arm(self, _number: int, _frame: object) -> None:
        self.armed = True

    def reached(self) -> None:
        if self.armed:
            self.armed = False
            os.kill(os.getpid(), signal.SIGSTOP)


def _before(owner: type, name: str, stop: _Stop) -> None:
    real = getattr(owner, name)

    @functools.wraps(real)
    def wrapped(self, *args, **kwargs):
        stop.reached()
        return real(self, *args, **kwargs)

    setattr(owner, name, wrapped)


def _after(owner: type, name: str, stop: _Stop) -> None:
    """Pause after a call, unless it returned False."""
    real = getattr(owner, name)

    @functools.wraps(real)
    def wrapped(self, *args, **kwargs):
        result = real(self, *args, **kwargs)
        if result is not False:
            stop.reached()
        return result

    setattr(owner, name, wrapped)


def _before_socket_write(stop: _Stop) -> None:
    from twisted.internet.abstract import FileDescriptor
    from twisted.internet.tcp import Server

    real = FileDescriptor.doWrite

    def wrapped(self):
        tokens = b"".join(self._tempDataBuffer).count(b"token_ids")
        if tokens and isinstance(self, Server):
            stop.reached()
        return real(self)

    FileDescriptor.doWrite = wrapped


def _after_reply_is_dequeued(stop: _Stop) -> None:
    from coursekeel.entry.answers._relay import RelaySink

    real = RelaySink.next_reply

    async def wrapped(self):
        reply = await real(self)
        if reply.tokens:
            stop.reached()
        return reply

    RelaySink.next_reply = wrapped


def _prepare(point: str, stop: _Stop) -> None:
    from coursekeel.entry.answers._answer_task import AnswerTask
    from coursekeel.entry.answers._follower import Follower
    from coursekeel.entry.answers._relay import RelaySink
    from coursekeel.entry.http._event_sinks import EventStream, WholeAnswer

    match point:
        case "line_read":
            _before(AnswerTask, "handle_tokens", stop)
        case "token_taken":
            _before(AnswerTask, "wake_followers", stop)
        case "right_asked":
            _before(Follower, "_send_available", stop)
        case "written":
            _after(EventStream, "tokens", stop)
        case "loop_writes":
            _before_socket_write(stop)
        case "body_written":
            _after(WholeAnswer, "finish", stop)
        case "reply_made":
            _after(RelaySink, "tokens", stop)
        case "reply_taken":
            _after_reply_is_dequeued(stop)
        case _:
            raise ValueError(f"no such point: {point!r}")


def _main(point: str, settings_file: str) -> int:
    from coursekeel.observe import set_up_logging
    from coursekeel.runtime import install_reactor, run_role
    from coursekeel.settings import load_settings

    stop = _Stop()
    signal.signal(signal.SIGUSR1, stop.arm)
    settings = load_settings(Path(settings_file))
    set_up_logging(settings.instance_id, "INFO")
    reactor = install_reactor()
    _prepare(point, stop)
    from coursekeel.entry import Entry

    return run_role(reactor, Entry(reactor, settings))


if __name__ == "__main__":
    sys.exit(_main(sys.argv[1], sys.argv[3]))
