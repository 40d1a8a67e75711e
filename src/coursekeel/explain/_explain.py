"""Read log lines back, and tell the life of one request and its cause."""

import shlex
from collections.abc import Iterable

from attrs import frozen

__all__ = ["Explanation", "LogLine", "explain", "parse_line"]


@frozen
class LogLine:
    """One event, as it was written."""

    fields: dict[str, str]
    text: str

    @property
    def event(self) -> str:
        """The event's name."""
        return self.fields.get("event", "")

    def get(self, name: str) -> str:
        """A field's value, empty if it has none."""
        return self.fields.get(name, "")


@frozen
class Explanation:
    """A request's lines in order, and its cause in a sentence."""

    lines: tuple[LogLine, ...]
    cause: str


def parse_line(text: str) -> LogLine | None:
    """Read one line; None if it is no event's.

    Whatever stands before the first field (a collector's own stamp) is passed over.
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
    """Tell the life of a request over the lines of any number of instances."""
    about: list[LogLine] = []
    instance_lines: list[LogLine] = []
    for text in texts:
        line = parse_line(text)
        if line is None:
            continue
        if line.get("request") == request_id:
            about.append(line)
        elif line.event in _INSTANCE_EVENTS:
            instance_lines.append(line)
    about.sort(key=_time)
    instances = {line.get("instance") for line in about}
    until = _time(about[-1]) if about else ""
    context = [
        line
        for line in sorted(instance_lines, key=_time)
        if line.get("instance") in instances and _time(line) <= until
    ]
    return Explanation(tuple(about), _cause(about, context))


_BELIEF_EVENTS = frozenset({"store_lost", "store_back", "history_gone"})
_LIFE_EVENTS = frozenset({"gateway_started", "gateway_stopped"})
_INSTANCE_EVENTS = _BELIEF_EVENTS | _LIFE_EVENTS


def _time(line: LogLine) -> str:
    return line.get("time")


def _cause(about: list[LogLine], context: list[LogLine]) -> str:
    if not about:
        return "No line names this request: it never reached an instance of these logs."
    last = about[-1]
    if last.event == "request_refused":
        belief = [line for line in context if line.event in _BELIEF_EVENTS]
        return _refused(last, belief)
    if last.event != "request_ended":
        return (
            f"The last line is {last.event} on {last.get('instance')}: the instance "
            "stopped before it gave a final word."
        )
    if last.get("outcome") == "caller_left" and _had_stopped(last, context):
        return (
            f"Its instance {last.get('instance')} reached the end of its grace and "
            f"closed its connections {last.get('took_ms')} ms after the request came."
        )
    return _ended(last, about)


def _had_stopped(last: LogLine, context: list[LogLine]) -> bool:
    """Say whether the instance was stopped already when the request ended.

    Closing its own connections looks to a stopped instance as if the callers left.
    """
    life = [
        line.event
        for line in context
        if line.event in _LIFE_EVENTS and line.get("instance") == last.get("instance")
    ]
    return bool(life) and life[-1] == "gateway_stopped"


def _refused(last: LogLine, belief: list[LogLine]) -> str:
    code, age = last.get("outcome"), last.get("belief_age_ms")
    sentence = _REFUSALS.get(code, f"It was refused: {code}.")
    if code == "belief_old":
        return f"{sentence} The belief was {age} ms old; {_store_state(belief)}."
    return sentence


def _store_state(belief: list[LogLine]) -> str:
    """What the last word on the store was before the refusal."""
    if not belief or belief[-1].event == "store_back":
        return "no newer answer of the store had come"
    last = belief[-1]
    what = last.get("reason") or last.event
    return f"the store was lost since {last.get('time')} ({what})"


_REFUSALS = {
    "belief_old": "It was refused because what is known of keys was too old to act on.",
    "no_route": "No route of the configuration in force names its host and path.",
    "unknown_key": "No team of the configuration in force holds its key.",
    "no_configuration": "The instance had just started and knew no configuration yet.",
    "stopping": "The instance was stopping; the answer could not have ended in time.",
    "too_many_open": "The instance had as many requests open as its settings allow.",
    "request_stops_engines": "What it asks is barred: three endpoints ended under it.",
    "no_pool": "Its route sends to no pool that the configuration names.",
}


def _ended(last: LogLine, about: list[LogLine]) -> str:
    outcome, status = last.get("outcome"), last.get("status")
    losses = [line for line in about if line.event in ("run_lost", "try_ended")]
    where = "; ".join(
        f"{line.get('endpoint')}: {line.get('reason') or line.get('outcome')}"
        for line in losses
    )
    sends = f"{last.get('sends')} send(s)" + (f" ({where})" if where else "")
    versions = [each.get("version") for each in about if each.get("version")]
    if versions:
        sends += f", during a roll-out, to version {' then '.join(versions)}"
    if outcome == "answered":
        return f"It was answered with {status} after {sends}."
    if outcome == "caller_left":
        return f"Its caller left after {last.get('took_ms')} ms, and {sends}."
    sentence = _ENDS.get(outcome, f"It ended with {outcome}")
    return f"{sentence} ({status or 'broken off'}) after {sends}."


_ENDS = {
    "answer_lost": "It may have run, and its answer was lost",
    "timeout": "Its time was over before the answer was whole",
    "too_late": "No endpoint had room for it in its time",
    "retry_budget": "It needed a further send, and the pool's retry budget was spent",
    "no_endpoint": "Every endpoint tried turned it away or couldn't be reached",
    "request_stops_engines": "Endpoint after endpoint was lost while it ran",
    "belief_old": "What is known of keys grew too old before it was sent",
}
