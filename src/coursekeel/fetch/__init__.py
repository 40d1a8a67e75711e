"""HTTP requests that are sent at most once and whose failures are values."""

from coursekeel.fetch._agent import DirectAgents, MaySend, SendWithheld
from coursekeel.fetch._arrival import Transfer
from coursekeel.fetch._exchange import (
    Ending,
    Exchange,
    ExchangeHead,
    ExchangeRequest,
    ExchangeSink,
    ForwardingSink,
)
from coursekeel.fetch._fetch import (
    AnswerLost,
    Fetcher,
    FetchOutcome,
    HttpReply,
    NotReached,
)
from coursekeel.fetch._overruns import OVERRUNS, Overrun, record_overrun
from coursekeel.fetch._own_link import OwnLink
from coursekeel.fetch._response_head import MALFORMED

__all__ = [
    "MALFORMED",
    "OVERRUNS",
    "AnswerLost",
    "DirectAgents",
    "Ending",
    "Exchange",
    "ExchangeHead",
    "ExchangeRequest",
    "ExchangeSink",
    "FetchOutcome",
    "Fetcher",
    "ForwardingSink",
    "HttpReply",
    "MaySend",
    "NotReached",
    "Overrun",
    "OwnLink",
    "SendWithheld",
    "Transfer",
    "record_overrun",
]
