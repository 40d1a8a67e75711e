"""Read a state chart, check that it is complete, and build its machine.

A chart names, for each state, the inputs it takes and the state each leads to.
Every input is either taken by a state or listed under that state's ``impossible``,
so that a forgotten case is found at start and not in service.
"""

import json
from collections.abc import Callable
from functools import cache
from importlib import resources
from typing import Any, Protocol

from attrs import field, frozen
from automat import TypeMachineBuilder

from coursekeel.errors import ChartError, InvariantBroken

__all__ = ["Chart", "Machine", "load_chart", "parse_chart"]


@frozen
class Chart:
    """A checked state chart; ``transitions[state][input]`` is the next state."""

    name: str
    initial: str
    transitions: dict[str, dict[str, str]] = field(repr=False)
    inputs: tuple[str, ...] = field(repr=False)

    def machine(self) -> "Machine":
        """Start a machine in the chart's initial state."""
        return Machine(self)


class _Position:
    """Where one machine stands; `automat` hands it to each transition."""

    def __init__(self, state: str) -> None:
        self.state = state


class Machine:
    """One item's life, driven by the inputs its chart names."""

    def __init__(self, chart: Chart) -> None:
        self._chart = chart
        self._position = _Position(chart.initial)
        self._inputs = _machine_factory(chart.name, _freeze(chart))(self._position)

    @property
    def state(self) -> str:
        """The name of the present state."""
        return self._position.state

    def takes(self, name: str) -> bool:
        """Say whether the present state has a transition for this input."""
        return name in self._chart.transitions[self.state]

    def feed(self, name: str) -> str:
        """Take one input and return the state it leads to.

        An input the chart calls impossible here is a broken invariant.
        """
        if not self.takes(name):
            raise InvariantBroken(
                f"chart {self._chart.name!r}: input {name!r} came in state "
                f"{self.state!r}, which the chart calls impossible"
            )
        getattr(self._inputs, name)()
        return self.state


_Frozen = tuple[str, tuple[str, ...], tuple[tuple[str, str, str], ...]]


def _freeze(chart: Chart) -> _Frozen:
    rows = tuple(
        (state, name, target)
        for state, row in chart.transitions.items()
        for name, target in row.items()
    )
    return chart.initial, chart.inputs, rows


@cache
def _machine_factory(name: str, frozen_chart: _Frozen) -> Callable[[_Position], Any]:
    """Build the `automat` machine once for each chart; items share it."""
    initial, inputs, rows = frozen_chart
    methods = {each: _input_method(each) for each in inputs}
    protocol: Any = type(f"{name}_inputs", (Protocol,), methods)
    builder: Any = TypeMachineBuilder(protocol, _Position)
    names = dict.fromkeys([initial, *(row[0] for row in rows)])
    names.update(dict.fromkeys(row[2] for row in rows))
    states = {each: builder.state(each) for each in names}
    for state, each, target in rows:
        mark = _enter(target)
        states[state].upon(methods[each]).to(states[target])(mark)
    machine: Callable[[_Position], Any] = builder.build()
    return machine


def _input_method(name: str) -> Callable[[Any], None]:
    def method(self: Any) -> None: ...

    method.__name__ = name
    method.__qualname__ = name
    return method


def _enter(target: str) -> Callable[[Any, _Position], None]:
    def enter(_inputs: Any, position: _Position) -> None:
        position.state = target

    return enter


def parse_chart(text: str) -> Chart:
    """Read a chart from JSON and check it; raises `ChartError` with every fault."""
    raw = json.loads(text)
    name, initial, states = raw["name"], raw["initial"], raw["states"]
    inputs = sorted({each for row in states.values() for each in row.get("on", {})})
    faults = [
        *_unknown_targets(states),
        *_unhandled(states, inputs),
        *_unreachable(initial, states),
    ]
    if faults:
        raise ChartError(f"chart {name!r}: " + "; ".join(faults))
    transitions = {state: dict(row.get("on", {})) for state, row in states.items()}
    return Chart(name, initial, transitions, tuple(inputs))


def _unknown_targets(states: dict[str, Any]) -> list[str]:
    return [
        f"{state}.{name} leads to {target!r}, which is no state"
        for state, row in states.items()
        for name, target in row.get("on", {}).items()
        if target not in states
    ]


def _unhandled(states: dict[str, Any], inputs: list[str]) -> list[str]:
    faults = []
    for state, row in states.items():
        known = set(row.get("on", {})) | set(row.get("impossible", []))
        faults += [
            f"{state} neither takes {name!r} nor calls it impossible"
            for name in inputs
            if name not in known
        ]
    return faults


def _unreachable(initial: str, states: dict[str, Any]) -> list[str]:
    reached: set[str] = set()
    waiting = [initial]
    while waiting:
        state = waiting.pop()
        if state in reached or state not in states:
            continue
        reached.add(state)
        waiting += states[state].get("on", {}).values()
    return [f"{state} can't be reached" for state in states if state not in reached]


@cache
def load_chart(name: str) -> Chart:
    """Load one of the charts that ship with coursekeel, by its file's name."""
    file = resources.files("coursekeel.charts").joinpath(f"{name}.json")
    return parse_chart(file.read_text(encoding="utf-8"))
