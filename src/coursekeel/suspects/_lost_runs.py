"""Lost runs that may have crashed their endpoint, until a probe of it has ended.

Rule: a run that had produced output for more than a second isn't the cause of a crash.
Any other is a suspect, with the `Sign` that it had shown.

Owns the suspects of each probe. Times are in ms. Does no I/O.
"""

from attrs import define, field, frozen

from coursekeel.quarantine import Sign

__all__ = ["LostRuns", "Suspect", "sign_of"]

# Requests that crash an endpoint do so soon after they begin to run: 54 to 121 ms
# after, on a recorded day.
_MAX_SUSPECT_OUTPUT_MS = 1_000.0


@frozen
class Suspect:
    """A request whose run was lost at ``lost_ms`` and may have crashed the endpoint.

    ``closed`` says that the run's connection was closed, rather than given up.
    """

    fingerprint: str
    sign: Sign
    lost_ms: float
    closed: bool = False


def sign_of(ran_ms: float | None, streamed_ms: float | None) -> Sign | None:
    """The sign of a lost run; None if it can't have crashed its endpoint.

    ``ran_ms`` is the time since its response head arrived, ``streamed_ms`` that since
    its first output; None if nothing arrived.
    """
    if streamed_ms is not None:
        return Sign.GAVE if streamed_ms <= _MAX_SUSPECT_OUTPUT_MS else None
    return Sign.UNSEEN if ran_ms is None else Sign.BEGAN


@define(eq=False)
class LostRuns:
    """The suspects of each endpoint that is being probed."""

    _by_endpoint: dict[str, dict[str, Suspect]] = field(factory=dict)

    def add(self, endpoint_id: str, suspect: Suspect) -> bool:
        """Add a lost run; True if the caller must begin a probe of the endpoint."""
        is_first = endpoint_id not in self._by_endpoint
        suspects = self._by_endpoint.setdefault(endpoint_id, {})
        suspects.setdefault(suspect.fingerprint, suspect)
        return is_first

    def any_closed(self, endpoint_id: str) -> bool:
        """Whether a suspect's connection was closed, rather than given up."""
        suspects = self._by_endpoint.get(endpoint_id, {})
        return any(suspect.closed for suspect in suspects.values())

    def pop(self, endpoint_id: str) -> list[Suspect]:
        """Remove and return an endpoint's suspects, when the probe has ended."""
        return list(self._by_endpoint.pop(endpoint_id).values())
