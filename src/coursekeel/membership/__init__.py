"""Membership: leases, greetings among entries, isolation, store outages."""

from coursekeel.membership._isolation import Isolation
from coursekeel.membership._lease import GroupLease, LapseWatch, LeaseTerms
from coursekeel.membership._outage import OutageWatch
from coursekeel.membership._peers import Greeting, PeerBook

__all__ = [
    "Greeting",
    "GroupLease",
    "Isolation",
    "LapseWatch",
    "LeaseTerms",
    "OutageWatch",
    "PeerBook",
]
