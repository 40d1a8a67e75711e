"""Parse a state chart, check that it is complete, and build its state machine.

A chart lists the inputs that each state accepts and the state each one leads to. For
each state, every input must be either accepted or listed under ``impossible``, so that
a missing case is found when the chart is loaded.
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


class _CurrentState:
    """The current state of one machine; `automat` passes it to each transition."""

    def __init__(self, state: str) -> None:
        self.state = state


class Machine:
    """A state machine with the states and inputs of its chart."""

    def __init__(self, chart: Chart) -> None:
        self._chart = chart
        self._current = _CurrentState(chart.initial)
        self._inputs = _machine_factory(chart.name, _to_hashable(chart))(self._current)

    @property
    def state(self) -> str:
        """The name of the current state."""
        return self._current.state

    def takes(self, name: str) -> bool:
        """Return whether the current state accepts this input."""
        return name in self._chart.transitions[self.state]

    def feed(self, name: str) -> str:
        """Process one input and return the state it leads to.

        Raises `InvariantBroken` if the current state doesn't accept the input.
        """
        if not self.takes(name):
            raise InvariantBroken(
                f"chart {self._chart.name!r}: input {name!r} arrived in state "
                f"{self.state!r}, which doesn't accept it"
            )
        getattr(self._inputs, name)()
        return self.state


_HashableChart = tuple[str, tuple[str, ...], tuple[tuple[str, str, str], ...]]


def _to_hashable(chart: Chart) -> _HashableChart:
    rows = tuple(
        (state, name, target)
        for state, row in chart.transitions.items()
        for name, target in row.items()
    )
    return chart.initial, chart.inputs, rows


@cache
def _machine_factory(
    name: str, hashable: _HashableChart
) -> Callable[[_CurrentState], Any]:
    """Build the `automat` machine of a chart; all machines of one chart share it."""
    initial, inputs, rows = hashable
    methods = {input_name: _input_method(input_name) for input_name in inputs}
    protocol: Any = type(f"{name}_inputs", (Protocol,), methods)
    builder: Any = TypeMachineBuilder(protocol, _CurrentState)
    state_names = dict.fromkeys([initial, *(row[0] for row in rows)])
    state_names.update(dict.fromkeys(row[2] for row in rows))
    states = {state_name: builder.state(state_name) for state_name in state_names}
    for state, input_name, target in rows:
        set_state = _enter_state(target)
        states[state].upon(methods[input_name]).to(states[target])(set_state)
    machine: Callable[[_CurrentState], Any] = builder.build()
    return machine


def _input_method(name: str) -> Callable[[Any], None]:
    def method(self: Any) -> None: ...

    method.__name__ = name
    method.__qualname__ = name
    return method


def _enter_state(target: str) -> Callable[[Any, _CurrentState], None]:
    def enter(_inputs: Any, current: _CurrentState) -> None:
        current.state = target

    return enter


def parse_chart(text: str) -> Chart:
    """Parse and check a chart in JSON; raises `ChartError` with all faults."""
    raw = json.loads(text)
    name, initial, states = raw["name"], raw["initial"], raw["states"]
    inputs = sorted(
        {input_name for row in states.values() for input_name in row.get("on", {})}
    )
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
        handled = set(row.get("on", {})) | set(row.get("impossible", []))
        faults += [
            f"{state} neither takes {name!r} nor calls it impossible"
            for name in inputs
            if name not in handled
        ]
    return faults


def _unreachable(initial: str, states: dict[str, Any]) -> list[str]:
    reached: set[str] = set()
    to_visit = [initial]
    while to_visit:
        state = to_visit.pop()
        if state in reached or state not in states:
            continue
        reached.add(state)
        to_visit += states[state].get("on", {}).values()
    return [f"{state} can't be reached" for state in states if state not in reached]


@cache
def load_chart(name: str) -> Chart:
    """Load a chart that is part of coursekeel; ``name`` is its file name's stem."""
    file = resources.files("coursekeel.charts").joinpath(f"{name}.json")
    return parse_chart(file.read_text(encoding="utf-8"))
