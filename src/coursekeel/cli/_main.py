"""The commands. Exit codes: 0 done, 1 refused or failed, 2 misuse, 3 unsure.

They are documented in docs/operators/index.md.
"""

import sys
from pathlib import Path
from typing import Annotated, Any

import cappa
from attrs import define, field

from coursekeel.cli._client import EntryClient
from coursekeel.cli._show import show
from coursekeel.errors import CoursekeelError

__all__ = ["main"]

EXIT_REFUSED = 1
EXIT_MISUSE = 2  # as argparse does
EXIT_UNSURE = 3

_SettingsFile = Annotated[
    Path, cappa.Arg(long="--settings", help="The settings file, JSON with comments.")
]
_Entry = Annotated[
    str,
    cappa.Arg(
        long="--entry",
        default=cappa.Env("COURSEKEEL_ENTRY", default="http://127.0.0.1:8080"),
        help="The address of any entry; the default is COURSEKEEL_ENTRY.",
    ),
]
_Key = Annotated[
    str,
    cappa.Arg(
        long="--key",
        default=cappa.Env("COURSEKEEL_KEY", default=""),
        help="The bearer key; prefer the variable COURSEKEEL_KEY.",
    ),
]
_Json = Annotated[
    bool, cappa.Arg(long="--json", help="Write JSON, for programs to read.")
]


@cappa.command(
    name="entry", help="Serve callers and operators until told to stop by SIGTERM."
)
@define
class EntryCommand:
    """Run an entry until it is stopped."""

    settings: _SettingsFile
    log_level: Annotated[str, cappa.Arg(long="--log-level", help="DEBUG, INFO, …")] = (
        "INFO"
    )

    def __call__(self) -> int:
        """Run the command; returns the exit code."""
        from coursekeel.cli._serve import serve

        return serve(self.settings, self.log_level)


@cappa.command(name="check", help="Check a settings file and name every fault in it.")
@define
class CheckCommand:
    """Check a settings file."""

    settings: _SettingsFile

    def __call__(self) -> int:
        """Run the command; returns the exit code."""
        from coursekeel.settings import check_settings

        checked = check_settings(self.settings)
        print(f"{self.settings}: good, for instance {checked.instance_id}")
        return 0


@cappa.command(
    name="explain", help="Explain the history and outcome of one request from logs."
)
@define
class ExplainCommand:
    """Explain the history of a request from logs."""

    request_id: Annotated[str, cappa.Arg(help="The request's id.")]
    logs: Annotated[
        list[Path],
        cappa.Arg(help="Log files; the default is standard input."),
    ] = field(factory=list)

    def __call__(self) -> int:
        """Run the command; returns the exit code."""
        from coursekeel.cli._explain import explain_request

        return explain_request(self.request_id, self.logs)


@cappa.command(name="plan", help="Show what an intent would change; changes nothing.")
@define
class PlanCommand:
    """Show what an intent would change."""

    intent: Annotated[Path, cappa.Arg(help="The intent, JSON with comments.")]
    entry: _Entry
    key: _Key
    json: _Json = False

    def __call__(self) -> int:
        """Run the command; returns the exit code."""
        body = self.intent.read_bytes()
        return _request(self, "POST", "/operator/plans", "plan", body)


@cappa.command(name="confirm", help="Put a plan into force; may be repeated.")
@define
class ConfirmCommand:
    """Put a plan into force."""

    plan_id: str
    entry: _Entry
    key: _Key
    known_stopped: Annotated[
        list[str],
        cappa.Arg(
            long="--known-stopped",
            help="An instance that is known to be stopped; it isn't waited for.",
        ),
    ] = field(factory=list)
    json: _Json = False

    def __call__(self) -> int:
        """Run the command; returns the exit code."""
        path = f"/operator/plans/{self.plan_id}/confirm"
        return _request(
            self, "POST", path, "confirm", {"known_stopped": self.known_stopped}
        )


@cappa.command(name="show", help="Show the intent in force and what it waits for.")
@define
class ShowCommand:
    """Show the configuration in force."""

    entry: _Entry
    key: _Key
    json: _Json = False

    def __call__(self) -> int:
        """Run the command; returns the exit code."""
        return _request(self, "GET", "/operator/intent", "intent")


@cappa.command(name="intent", help="Plan, confirm and show the intent.")
@define
class IntentCommand:
    """The commands on the intent."""

    command: cappa.Subcommands[PlanCommand | ConfirmCommand | ShowCommand]


@cappa.command(name="endpoints", help="Show every endpoint and its state.")
@define
class EndpointsCommand:
    """Show all endpoints."""

    entry: _Entry
    key: _Key
    json: _Json = False

    def __call__(self) -> int:
        """Run the command; returns the exit code."""
        return _request(self, "GET", "/operator/endpoints", "endpoints")


@cappa.command(name="status", help="Show one entry's state and troubled answers.")
@define
class StatusCommand:
    """Show an entry's state."""

    entry: _Entry
    key: _Key
    json: _Json = False

    def __call__(self) -> int:
        """Run the command; returns the exit code."""
        return _request(self, "GET", "/operator/status", "status")


@cappa.command(name="follow", help="Stream an answer's text.")
@define
class FollowCommand:
    """Stream an answer's text; needs the key of its team."""

    request_id: str
    entry: _Entry
    key: _Key

    def __call__(self) -> int:
        """Run the command; returns the exit code."""
        client = EntryClient(self.entry, self.key)
        return client.follow(self.request_id, sys.stdout)


@cappa.command(name="answer", help="Read answers.")
@define
class AnswerCommand:
    """The commands on answers."""

    command: cappa.Subcommands[FollowCommand]


@cappa.command(
    name="coursekeel",
    help="Serve long generations on model endpoints that fail.",
    description=(
        "Start with `coursekeel check --settings FILE`, then `coursekeel entry "
        "--settings FILE` on each instance; put an intent into force with `coursekeel "
        "intent plan FILE` and `coursekeel intent confirm ID`. Exit codes: 0 done, "
        "1 refused or failed, 2 misuse, 3 unsure: ask again."
    ),
)
@define
class Coursekeel:
    """The program and its commands."""

    command: cappa.Subcommands[
        EntryCommand
        | CheckCommand
        | ExplainCommand
        | IntentCommand
        | EndpointsCommand
        | StatusCommand
        | AnswerCommand
    ]


def _request(command: Any, method: str, path: str, kind: str, body: Any = None) -> int:
    client = EntryClient(command.entry, command.key)
    status, answer = client.request(method, path, body)
    show(kind, status, answer, command.json)
    if status < 300:
        return 0
    unsure = answer.get("error", {}).get("run") == "unknown"
    return EXIT_UNSURE if unsure else EXIT_REFUSED


def main() -> None:
    """Run the program and exit with its exit code."""
    try:
        result = cappa.invoke(Coursekeel)
    except CoursekeelError as fault:
        print(fault, file=sys.stderr)
        sys.exit(EXIT_MISUSE)
    sys.exit(result or 0)
