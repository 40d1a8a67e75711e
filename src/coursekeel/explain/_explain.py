"""Parse log lines, and explain the history and outcome of one request."""

import shlex
from collections.abc import Iterable

from attrs import frozen

__all__ = ["Explanation", "LogLine", "explain", "parse_line"]


@frozen
class LogLine:
    """One parsed log event; ``text`` is its line."""

    fields: dict[str, str]
    text: str

    @property
    def event(self) -> str:
        """The event's name."""
        return self.fields.get("event", "")

    def get(self, name: str) -> str:
        """Return a field's value, empty if there is none."""
        return self.fields.get(name, "")


@frozen
class Explanation:
    """The log lines of a request in order, and its outcome in a sentence."""

    lines: tuple[LogLine, ...]
    cause: str


def parse_line(text: str) -> LogLine | None:
    """Parse one line; returns None if it holds no event.

    Text before the first field, such as a log collector's timestamp, is ignored.
    """
    start = text.find("time=")
    if start < 0:
        return None
    try:
        words = shlex.split(text[start:])
    except ValueError:
        return None
    pairs = (word.partition("=") for word in words)
    fields = {key: value for key, equals, value in pairs if equals}
    return LogLine(fields, text[start:].rstrip("\n")) if "event" in fields else None


def explain(request_id: str, texts: Iterable[str]) -> Explanation:
    """Explain a request from the log lines of any number of instances."""
    request_lines: list[LogLine] = []
    instance_lines: list[LogLine] = []
    for text in texts:
        line = parse_line(text)
        if line is None:
            continue
        if line.get("request") == request_id:
            request_lines.append(line)
        elif line.event in _INSTANCE_EVENTS:
            instance_lines.append(line)
    request_lines.sort(key=_time)
    instances = {line.get("instance") for line in request_lines}
    until = _time(request_lines[-1]) if request_lines else ""
    context = [
        line
        for line in sorted(instance_lines, key=_time)
        if line.get("instance") in instances and _time(line) <= until
    ]
    return Explanation(tuple(request_lines), _explain_outcome(request_lines, context))


_STORE_EVENTS = frozenset({"store_lost", "store_back", "history_gone"})
_PROCESS_EVENTS = frozenset({"gateway_started", "gateway_stopped"})
_INSTANCE_EVENTS = _STORE_EVENTS | _PROCESS_EVENTS


def _time(line: LogLine) -> str:
    return line.get("time")


def _explain_outcome(request_lines: list[LogLine], context: list[LogLine]) -> str:
    if not request_lines:
        return "No line names this request: it never reached an instance of these logs."
    last = request_lines[-1]
    if last.event == "request_refused":
        store_lines = [line for line in context if line.event in _STORE_EVENTS]
        return _explain_refusal(last, store_lines)
    if last.event != "request_ended":
        return (
            f"The last line is {last.event} on {last.get('instance')}: the instance "
            "stopped before it gave a final word."
        )
    if last.get("outcome") == "caller_left" and _had_stopped(last, context):
        return (
            f"Its instance {last.get('instance')} reached the end of its grace and "
            f"closed its connections {last.get('took_ms')} ms after it arrived."
        )
    return _explain_end(last, request_lines)


def _had_stopped(last: LogLine, context: list[LogLine]) -> bool:
    """Return whether the instance had already stopped when the request ended.

    A stopping instance closes its connections, and logs that as callers that left.
    """
    events = [
        line.event
        for line in context
        if line.event in _PROCESS_EVENTS
        and line.get("instance") == last.get("instance")
    ]
    return bool(events) and events[-1] == "gateway_stopped"


def _explain_refusal(last: LogLine, store_lines: list[LogLine]) -> str:
    code, age = last.get("outcome"), last.get("belief_age_ms")
    sentence = _REFUSAL_SENTENCES.get(code, f"It was refused: {code}.")
    if code == "belief_old":
        return f"{sentence} The belief was {age} ms old; {_store_state(store_lines)}."
    return sentence


def _store_state(store_lines: list[LogLine]) -> str:
    """Return the state of the store before the refusal, as the end of a sentence."""
    if not store_lines or store_lines[-1].event == "store_back":
        return "no newer answer of the store had come"
    last = store_lines[-1]
    reason = last.get("reason") or last.event
    return f"the store was lost since {last.get('time')} ({reason})"


_REFUSAL_SENTENCES = {
    "belief_old": "It was refused because what is known of keys was too old to act on.",
    "no_route": "No route of the configuration in force matches its host and path.",
    "unknown_key": "No team of the configuration in force holds its key.",
    "no_configuration": "The instance had just started and had no configuration yet.",
    "stopping": "The instance was stopping; the answer couldn't have finished in time.",
    "too_many_open": "The instance had as many requests open as its settings allow.",
    "request_stops_engines": "What it asks is barred: three endpoints ended under it.",
    "no_pool": "Its route sends to no pool that the configuration names.",
}


def _explain_end(last: LogLine, request_lines: list[LogLine]) -> str:
    outcome, status = last.get("outcome"), last.get("status")
    losses = [line for line in request_lines if line.event in ("run_lost", "try_ended")]
    where = "; ".join(
        f"{line.get('endpoint')}: {line.get('reason') or line.get('outcome')}"
        for line in losses
    )
    sends = f"{last.get('sends')} send(s)" + (f" ({where})" if where else "")
    versions = [
        request_line.get("version")
        for request_line in request_lines
        if request_line.get("version")
    ]
    if versions:
        sends += f", during a roll-out, to version {' then '.join(versions)}"
    if outcome == "answered":
        return f"It was answered with {status} after {sends}."
    if outcome == "caller_left":
        return f"Its caller left after {last.get('took_ms')} ms, and {sends}."
    sentence = _END_SENTENCES.get(outcome, f"It ended with {outcome}")
    return f"{sentence} ({status or 'broken off'}) after {sends}."


_END_SENTENCES = {
    "answer_lost": "It may have run, and its answer was lost",
    "timeout": "It timed out before the answer was complete",
    "stopping": "Its instance stopped before the answer was complete",
    "too_late": "No endpoint had room for it in its time",
    "retry_budget": "It needed another send, and the pool's retry budget was exhausted",
    "no_endpoint": "Every endpoint tried rejected it or couldn't be reached",
    "request_stops_engines": "Endpoint after endpoint was lost while it ran",
    "belief_old": "What is known of keys grew too old before it was sent",
}
