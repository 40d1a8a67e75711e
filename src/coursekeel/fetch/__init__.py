"""Whole HTTP requests, sent at most once, whose outcomes are values."""

from coursekeel.fetch._agent import direct_agent
from coursekeel.fetch._fetch import AnswerLost, Fetcher, FetchOutcome, NotReached, Reply

__all__ = [
    "AnswerLost",
    "FetchOutcome",
    "Fetcher",
    "NotReached",
    "Reply",
    "direct_agent",
]
