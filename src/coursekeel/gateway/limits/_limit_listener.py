"""Reports what an endpoint's answer says about a limit, and passes its events on.

Owns the time at which the request was sent: only an answer to a later request can end
a limit.
"""

from collections.abc import Callable

from attrs import define

from coursekeel.fetch import Ending, ExchangeHead, ExchangeSink
from coursekeel.runtime import Clock

__all__ = ["LimitListener"]


@define(eq=False)
class LimitListener(ExchangeSink):
    """Stands before ``sink``; ``on_head`` gets each head and when its request left."""

    sink: ExchangeSink
    clock: Clock
    on_head: Callable[[ExchangeHead, float], None]
    _sent_ms: float = float("-inf")

    def may_send(self) -> bool:
        self._sent_ms = self.clock.now_ms()
        return self.sink.may_send()

    def head_arrived(self, head: ExchangeHead) -> None:
        self.on_head(head, self._sent_ms)
        self.sink.head_arrived(head)

    def data_arrived(self, data: bytes) -> None:
        self.sink.data_arrived(data)

    def ended(self, ending: Ending, reason: str) -> None:
        self.sink.ended(ending, reason)
