"""The metrics of an entry, by team and request class.

The two measures that policies are compared by, resume latency and extra use, each have
a histogram or counters here.
"""

import resource
from collections.abc import Callable

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

__all__ = ["Metrics"]

_LATENCY_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1, 1.5, 2.5, 5, 10, 30, 60)


class Metrics:
    """The metrics of an entry; the suffix of a metric's name is its unit.

    They use a registry of their own, since the library's default registry is global to
    the process and rejects a second set.
    """

    def __init__(self) -> None:
        self._registry = Registry()
        self._gauges: list[tuple[Gauge, Callable[[], float]]] = []
        self.first_token_s = self._histogram(
            "coursekeel_first_token_seconds",
            "From a request's arrival to its first token",
        )
        self.token_gap_s = self._histogram(
            "coursekeel_token_gap_seconds",
            "Between tokens, sampled once in 64",
        )
        self.resume_s = self._histogram(
            "coursekeel_resume_seconds",
            "From an answer's last token to its next, over a loss",
        )
        self.call_s = self._histogram(
            "coursekeel_call_seconds",
            "A call to a plain service, from arrival to reply",
        )
        self.requests = self._counter(
            "coursekeel_requests_total", "Requests by team, class and outcome"
        )
        self.tokens = self._counter(
            "coursekeel_tokens_total", "Tokens delivered to ledgers"
        )
        self.extra_tokens = self._counter(
            "coursekeel_extra_tokens_total",
            "Extra use: tokens made and thrown away, or prefilled again",
        )
        self.attempts = self._counter(
            "coursekeel_attempts_total", "Runs asked of endpoints, by way"
        )
        processor = "Processor time of this process"
        self.gauge("coursekeel_processor_seconds", processor, _processor_s)
        memory = "Resident memory of this process at its largest"
        self.gauge("coursekeel_memory_bytes", memory, _memory_bytes)

    def _histogram(self, name: str, doc: str) -> Histogram:
        return Histogram(name, doc, registry=self._registry, buckets=_LATENCY_S)

    def _counter(self, name: str, doc: str) -> Counter:
        return Counter(name, doc, registry=self._registry)

    def gauge(self, name: str, doc: str, read: Callable[[], float]) -> None:
        """Add a gauge; ``read`` returns its value and is called at each `render`."""
        gauge = Gauge(name, doc, registry=self._registry)
        self._gauges.append((gauge, read))

    def render(self, accepts: list[str]) -> tuple[bytes, dict[str, str]]:
        """Return the metrics in a format from ``accepts``, and the response headers."""
        for gauge, read in self._gauges:
            gauge.set({}, read())
        content, headers = render(self._registry, accepts)
        return content, headers


def _processor_s() -> float:
    used = resource.getrusage(resource.RUSAGE_SELF)
    return used.ru_utime + used.ru_stime


def _memory_bytes() -> float:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024
