"""Stands between an exchange with an endpoint and its sink, for limits.

Withholds a request that may not leave now, and reports each head with the time at which
its request was sent: only an answer to a later request can end a limit.
"""

from collections.abc import Callable

from attrs import define

from coursekeel.fetch import ExchangeHead, ForwardingSink
from coursekeel.runtime import Clock

__all__ = ["LimitListener"]


def _always() -> bool:
    return True


@define(eq=False)
class LimitListener(ForwardingSink):
    """Stands before ``sink``; ``on_head`` gets each head and when its request left.

    ``permitted`` is asked last, as it may use up a permit.
    """

    clock: Clock
    on_head: Callable[[ExchangeHead, float], None]
    permitted: Callable[[], bool] = _always
    _sent_ms: float = float("-inf")

    def may_send(self) -> bool:
        self._sent_ms = self.clock.now_ms()
        return self.sink.may_send() and self.permitted()

    def head_arrived(self, head: ExchangeHead) -> None:
        self.on_head(head, self._sent_ms)
        self.sink.head_arrived(head)
