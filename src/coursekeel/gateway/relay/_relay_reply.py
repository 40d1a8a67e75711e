"""The reply to a member that relayed a request."""

from attrs import define

from coursekeel.gateway._adapters import HeaderPairs
from coursekeel.gateway._caller_reply import CallerReply
from coursekeel.gateway.admission._refusals import GatewayRefusal
from coursekeel.gateway.relay._relay_wire import REFUSAL_HEADER, without_relay_headers

__all__ = ["RelayReply"]


@define(eq=False)
class RelayReply(CallerReply):
    """Marks this instance's refusals, so that they can't be taken for an endpoint's."""

    def head(self, status: int, headers: HeaderPairs) -> None:
        """Send status and headers; an endpoint can't name a refusal."""
        CallerReply.head(self, status, without_relay_headers(headers))

    def refuse(self, refusal: GatewayRefusal) -> None:
        """Send the refusal as a complete reply."""
        if not self.head_sent:
            code = refusal.code.encode()
            self.request.responseHeaders.setRawHeaders(REFUSAL_HEADER, [code])
        CallerReply.refuse(self, refusal)
