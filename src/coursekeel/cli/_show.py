"""Write answers for people, or as JSON for programs."""

import sys
from typing import Any

import orjson

__all__ = ["show"]

_RED = "31"
_GREEN = "32"
_YELLOW = "33"
_STATE_COLOURS = {
    "serving": _GREEN,
    "accepted": _GREEN,
    "committed": _YELLOW,
    "leaving": _YELLOW,
    "evidence_old": _YELLOW,
    "dead": _RED,
    "unseen": _RED,
}


def show(kind: str, status: int, answer: Any, as_json: bool) -> None:
    """Write one answer."""
    if as_json:
        print(orjson.dumps(answer, option=orjson.OPT_INDENT_2).decode())
        return
    if status >= 300:
        _show_error(answer)
        return
    _SHOWN[kind](answer)


def _colour(text: str, code: str) -> str:
    """Colour only what a person sees on a terminal."""
    return f"\x1b[{code}m{text}\x1b[0m" if code and sys.stdout.isatty() else text


def _state(text: str) -> str:
    return _colour(text, _STATE_COLOURS.get(text, ""))


def _show_error(answer: Any) -> None:
    error = answer.get("error", {})
    print(_colour(error.get("code", "failed"), _RED), file=sys.stderr)
    for line in str(error.get("message", answer)).split("; "):
        print(f"  {line}", file=sys.stderr)
    for change in answer.get("changed_since", []):
        print(f"  since: {_change(change)}", file=sys.stderr)


def _change(change: dict[str, str]) -> str:
    detail = f" ({change['detail']})" if change.get("detail") else ""
    return f"{change['action']} {change['subject']}{detail}"


def _plan(answer: Any) -> None:
    print(f"plan {answer['plan_id']} on revision {answer['on_revision']}")
    for change in answer["changes"]:
        print(f"  {_change(change)}")
    if not answer["changes"]:
        print("  nothing would change")
    print(f"loads: {answer['loads']}, about {answer['load_time_s']} s at the set rate")
    print(f"to put it into force: coursekeel intent confirm {answer['plan_id']}")


def _confirm(answer: Any) -> None:
    print(f"revision {answer['revision']}: {_state(answer['state'])}")
    for name in answer["waiting_for"]:
        print(f"  waits for {name}")


def _intent(answer: Any) -> None:
    _confirm(answer)
    print(f"applied here: {answer['applied_revision']}")
    print(orjson.dumps(answer["intent"], option=orjson.OPT_INDENT_2).decode())


def _endpoints(answer: Any) -> None:
    for each in answer["endpoints"]:
        takes = "takes new work" if each["takes_new_work"] else "no new work"
        print(
            f"{each['endpoint_id']:<20} {each['zone']:<10} {_state(each['state']):<12} "
            f"{takes}; {each['running_here']} of {each['limit_here']} from here; "
            f"{', '.join(each['serves'])}"
        )


def _status(answer: Any) -> None:
    for name, value in answer.items():
        if name != "troubled":
            print(f"{name}: {value}")
    for each in answer["troubled"]:
        print(
            f"troubled: {each['team']}/{each['request_id']} {each['state']} "
            f"{each['reason']} at {each['held_tokens']} tokens, "
            f"{each['attempts']} attempts"
        )


_SHOWN = {
    "plan": _plan,
    "confirm": _confirm,
    "intent": _intent,
    "endpoints": _endpoints,
    "status": _status,
}
