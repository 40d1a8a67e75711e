"""Print an entry's responses as text for people, or as JSON for programs."""

import sys
from typing import Any

import orjson

__all__ = ["show"]

_RED = "31"
_GREEN = "32"
_YELLOW = "33"
_COLOURS_BY_STATE = {
    "serving": _GREEN,
    "accepted": _GREEN,
    "committed": _YELLOW,
    "leaving": _YELLOW,
    "evidence_old": _YELLOW,
    "dead": _RED,
    "unseen": _RED,
}


def show(kind: str, status: int, answer: Any, as_json: bool) -> None:
    """Print the response to a command of this ``kind``, given its HTTP status."""
    if as_json:
        print(orjson.dumps(answer, option=orjson.OPT_INDENT_2).decode())
        return
    if status >= 300:
        _print_error(answer)
        return
    _PRINTERS[kind](answer)


def _colourize(text: str, code: str) -> str:
    """Add a terminal colour, unless the output isn't a terminal."""
    return f"\x1b[{code}m{text}\x1b[0m" if code and sys.stdout.isatty() else text


def _coloured_state(text: str) -> str:
    return _colourize(text, _COLOURS_BY_STATE.get(text, ""))


def _print_error(answer: Any) -> None:
    error = answer.get("error", {})
    print(_colourize(error.get("code", "failed"), _RED), file=sys.stderr)
    for line in str(error.get("message", answer)).split("; "):
        print(f"  {line}", file=sys.stderr)
    for change in answer.get("changed_since", []):
        print(f"  since: {_change_text(change)}", file=sys.stderr)


def _change_text(change: dict[str, str]) -> str:
    detail = f" ({change['detail']})" if change.get("detail") else ""
    return f"{change['action']} {change['subject']}{detail}"


def _print_plan(answer: Any) -> None:
    print(f"plan {answer['plan_id']} on revision {answer['on_revision']}")
    for change in answer["changes"]:
        print(f"  {_change_text(change)}")
    if not answer["changes"]:
        print("  nothing would change")
    print(f"loads: {answer['loads']}, about {answer['load_time_s']} s at the set rate")
    print(f"to put it into force: coursekeel intent confirm {answer['plan_id']}")


def _print_confirm(answer: Any) -> None:
    print(f"revision {answer['revision']}: {_coloured_state(answer['state'])}")
    for instance in answer["waiting"]:
        print(f"  waits for {_waiting_text(instance)}")


def _waiting_text(instance: dict[str, Any]) -> str:
    applied = instance["applied_revision"] or "no revision that is known here"
    reached = instance["address"] or "no known address"
    refused = ", which refuses connections" if instance["refused_connection"] else ""
    return f"{instance['instance_id']}: applies {applied}, at {reached}{refused}"


def _print_intent(answer: Any) -> None:
    _print_confirm(answer)
    print(f"applied here: {answer['applied_revision']}")
    print(orjson.dumps(answer["intent"], option=orjson.OPT_INDENT_2).decode())


def _print_endpoints(answer: Any) -> None:
    for endpoint in answer["endpoints"]:
        admission = "takes new work" if endpoint["takes_new_work"] else "no new work"
        print(
            f"{endpoint['endpoint_id']:<20} {endpoint['zone']:<10} "
            f"{_coloured_state(endpoint['state']):<12} "
            f"{admission}; {endpoint['running_here']} of {endpoint['limit_here']} "
            f"from here; {', '.join(endpoint['serves'])}"
        )


def _print_status(answer: Any) -> None:
    for name, value in answer.items():
        if name != "troubled":
            print(f"{name}: {value}")
    for record in answer["troubled"]:
        print(
            f"troubled: {record['team']}/{record['request_id']} "
            f"{record['state']} {record['reason']} at {record['held_tokens']} tokens, "
            f"{record['attempts']} attempts"
        )


_PRINTERS = {
    "plan": _print_plan,
    "confirm": _print_confirm,
    "intent": _print_intent,
    "endpoints": _print_endpoints,
    "status": _print_status,
}
