"""How a failed connection is described."""

from unittest.mock import Mock

from twisted.internet.defer import ensureDeferred
from twisted.internet.error import ConnectError, ConnectionLost, ConnectionRefusedError
from twisted.internet.task import Clock as FakeReactor
from twisted.python.failure import Failure

from coursekeel.fetch import Fetcher, NotReached


def outcome_of(failure: ConnectError) -> object:
    fetcher = Fetcher(FakeReactor(), 1_000)
    fetcher._client = Mock(request=Mock(side_effect=failure))
    outcomes: list[object] = []
    asked = ensureDeferred(fetcher.ask("GET", "http://127.0.0.1:1/", 1_000))
    asked.addCallback(outcomes.append)
    return outcomes[0]


def test_a_connection_lost_while_connecting_is_described_in_one_line():
    """Guards against a log line that looks like an unhandled failure."""
    outcome = outcome_of(ConnectError(osError=Failure(ConnectionLost())))
    assert isinstance(outcome, NotReached)
    assert "Traceback" not in outcome.reason
    assert "\n" not in outcome.reason
    assert outcome.reason.startswith("ConnectError: Connection to the other side")


def test_a_refused_connection_is_described_as_such():
    outcome = outcome_of(ConnectionRefusedError(osError=111, string="refused"))
    assert isinstance(outcome, NotReached)
    assert "refused" in outcome.reason
