"""The processes of a soak, and the faults that are done to them.

Owns every process that it started, and ends only those. Relies on the stand-in of the
platform that the gateway's tests use (`tests/platform`).
"""

import json
import signal
import socket
import time
from pathlib import Path
from subprocess import Popen, TimeoutExpired

from attrs import define, field

from soak import _logs
from soak._callers import GuiltyCaller
from soak._records import (
    CallKind,
    Crash,
    Evidence,
    GatewayFault,
    KeyRevoked,
    LimitNamed,
    ServerArrival,
    ServerFault,
    ServerLeft,
    ServerListed,
    ServerReached,
    ServerRun,
    StoreFault,
)
from soak._schedule import LEAVINGS, SILENCES, Fault, FaultKind
from standins.site import Http, wait_until
from tests.platform.site import KEY, ZONES, GatewaySite, configuration

__all__ = ["ENGINES", "GUILTY", "KEYS", "RETRIES", "SERVICES", "SETTINGS", "World"]

ENGINES = 3
SERVICES = 3
# Keys that a schedule may take away; those of the second team are all that it has.
_SPARE_KEYS = ("key-2", "key-3")
_SECOND_KEYS = ("key-4",)
# What callers may use.
KEYS = (KEY, *_SPARE_KEYS, *_SECOND_KEYS)
# What the gateways are told to keep; the checks hold them to the same.
SETTINGS = {
    "revoke_ms": 3_000.0,
    "configuration_ms": 2_000.0,
    "drain_ms": 2_000.0,
    "grace_s": 6.0,
}
RETRIES = {"ratio": 0.8, "slack": 30.0, "window_s": 10.0}
_START_S = 30.0
# Callers whose requests end servers are numbered from here.
_GUILTY_NUMBERS = 100
_MANY = 10_000

_STORE_FAULTS = {
    FaultKind.STORE_SILENT: "silent",
    FaultKind.STORE_REFUSES: "503",
    FaultKind.STORE_RESETS: "reset",
}
# Whatever is asked below a path that names it ends its servers.
GUILTY = "guilty"
# How long the operator and the servers take to write again after a restore.
_WRITTEN_AGAIN_S = 0.5
# So that a restored store has given out all versions of its copy's age again after as
# long, as one with many servers has.
_BEATS_PER_S = 20.0
# Between two signals to a process that should end.
_WAKE_EVERY_S = 0.2
# How long a process that was told to stop itself may take to do so.
_STOP_S = 2.0
# How long a server is away after its process ended.
_DOWN_S = 1.0
_ALWAYS = {"crashed_by": GUILTY, "down_s": _DOWN_S}

# What an operator may list as a server's address, and is none.
_NO_ADDRESSES = (
    "H",
    "H :80",
    "[H:80",
    "http://H:80/",
    "::1:80",
    "127..1:80",
    "H:" + "9" * 5_000,
    ["127.0.0.1:80", "H:" + "9" * 5_000],
    None,
)

# What the link between a gateway and the store does, and how late it is when slow: as
# late as leaves a question answered.
_SLOW_MS = 700.0
_LINK_FAULTS = {
    FaultKind.LINK_HELD_OUT: {"holds_out": True},
    FaultKind.LINK_HELD_BACK: {"holds_back": True},
    FaultKind.LINK_SLOW: {"delay_ms": _SLOW_MS},
    FaultKind.LINK_REFUSES: {"refuses": True},
    FaultKind.LINK_RESET: {"reset": True},
    FaultKind.LINK_SILENT: {"silence": True},
}
_SOUND_LINK = {
    "holds_out": False,
    "holds_back": False,
    "refuses": False,
    "delay_ms": 0.0,
}
# What becomes of the links from a gateway to all servers (`tests.common.cut_links`).
_CUTS = {
    FaultKind.SERVERS_HANG: "hang",
    FaultKind.SERVERS_RESET: "reset",
    FaultKind.SERVERS_REFUSE_NEW: "live",
}
# Its machine can be suspended, its servers cut off, and its way to the store is a link.
_GATEWAY = ("-m", "tests.common.faulted_gateway")

# Under these a gateway isn't in touch.
_AWAY = frozenset(
    {
        FaultKind.GATEWAY_KILLED,
        FaultKind.GATEWAY_PAUSED,
        FaultKind.GATEWAY_SUSPENDED,
        FaultKind.GATEWAY_STOPPED,
    }
)
_OUTAGES = _AWAY - {FaultKind.GATEWAY_STOPPED}
# Less than callers ask of a server.
_LIMIT_PER_S = 0.5
_LIMITS = frozenset({FaultKind.ENGINE_LIMITS, FaultKind.SERVICE_LIMITS})
_SERVER_FAULTS = {
    FaultKind.ENGINE_DARK: {"dark": True},
    FaultKind.ENGINE_RESETS: {"reset": _MANY},
    FaultKind.ENGINE_SHEDS: {"shed": _MANY},
    FaultKind.ENGINE_CUTS: {"cut_at": 12},
    FaultKind.ENGINE_MUTES: {"mute_at": 12, "mutes": _MANY},
    FaultKind.ENGINE_PREEMPTS: {
        "preempt_at": 12,
        "preempts": _MANY,
        "preempted_ms": 1_200,
    },
    FaultKind.SERVICE_FAILS: {"fail": _MANY},
    FaultKind.SERVICE_TEARS: {"torn": _MANY},
    FaultKind.SERVICE_RESETS: {"reset": _MANY},
    FaultKind.ENGINE_HEADS_INVALID: {"invalid_head": _MANY},
    FaultKind.SERVICE_HEADS_INVALID: {"invalid_head": _MANY},
}
# Under these a server isn't sound; one that preempts runs goes on with them.
_UNSOUND = frozenset(
    {*_SERVER_FAULTS, FaultKind.ENGINE_REPLACED, FaultKind.ENGINE_LEAVES}
) - {FaultKind.ENGINE_PREEMPTS}


@define(eq=False)
class World:
    """Gateways and what they stand before; ``zones`` as in `Schedule`.

    ``servers`` is the number of engines, and of services.
    """

    folder: Path
    gateways: int
    zones: tuple[int, ...] = ()
    servers: int = ENGINES
    settings: dict[str, float] = field(factory=lambda: dict(SETTINGS))
    evidence: Evidence = field(factory=Evidence)
    guilty: list[GuiltyCaller] = field(factory=list)
    ports: dict[int, int] = field(factory=dict)
    site: GatewaySite = field(init=False)
    _ready_ports: dict[int, list[int]] = field(factory=dict)
    _processes: dict[int, object] = field(factory=dict)
    _peer_port: int = 0
    _revoked_s: dict[str, float] = field(factory=dict)
    _links: Http = field(init=False)
    _link_ports: list[int] = field(factory=list)
    _link_fault_s: dict[int, float] = field(factory=dict)
    _lives: int = 0
    _store_fault_s: float = 0.0
    _ending: set[int] = field(factory=set)
    _away_s: dict[int, float] = field(factory=dict)
    _outage_s: dict[int, float] = field(factory=dict)
    _stop_s: dict[int, float] = field(factory=dict)
    _unsound_s: dict[Fault, float] = field(factory=dict)
    _silent_until_s: dict[int, float] = field(factory=dict)
    _limited_s: dict[int, float] = field(factory=dict)
    _cut_s: dict[int, float] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.site = GatewaySite(self.folder, engines=self.servers)

    def start(self) -> None:
        """Start the stand-in, then all gateways at once, and wait until they serve."""
        servers = 2 * self.servers
        standin = self.site.start_process(
            ["-m", "tests.platform.standin", str(servers)], "w"
        )
        control, self.site.store_port, *self.site.server_ports = standin
        self.site.control = Http(control)
        link_control, *self._link_ports = self.site.start_process(
            [
                "-m",
                "standins.faulty_links",
                str(self.gateways),
                str(self.site.store_port),
            ],
            "links",
        )
        self._links = Http(link_control)
        self._configure()
        for number in range(servers):
            self.site.put_server(number)
            self.site.faults(f"s{number}", **_ALWAYS)
            self._listed(number)
        self.site.store(beats_per_s=_BEATS_PER_S)
        self._peer_port = _free_port()
        for number in range(self.gateways):
            self._start_gateway(number)
        for number in range(self.gateways):
            wait_until(
                lambda n=number: self._is_ready(n), f"gateway {number}", _START_S
            )

    def stop(self) -> None:
        """End every process that was started here."""
        self.site.stop()

    def _configure(self) -> None:
        self.site.version += 1
        held = [each for each in KEYS if each not in self._revoked_s]
        first = tuple(each for each in held if each not in _SECOND_KEYS)
        second = tuple(each for each in held if each in _SECOND_KEYS)
        row = configuration(self.site.version, first, second)
        self.site.put([("op", "config", row)])

    # Gateways.

    def _address(self, number: int) -> str:
        return f"127.0.0.{11 + number}:{self._peer_port}"

    def _start_gateway(self, number: int) -> None:
        self._lives += 1
        ports = self.site.start_gateway(
            f"g{number}-{self._lives}",
            wait=False,
            listen={"peers": self._address(number)},
            seeds=[self._address(0), self._address(1)],
            retries=RETRIES,
            program=_GATEWAY,
            store_link=f"127.0.0.1:{self._link_ports[number]}",
            cut_file=str(self._cut_file(number)),
            zone=self._zone(number),
            **self.settings,
        )
        self._processes[number] = self.site.processes[-1]
        self._ready_ports[number] = ports
        self.ports[number] = ports[0]

    def _zone(self, number: int) -> str:
        for zone, count in zip(ZONES, self.zones, strict=False):
            if number < count:
                return zone
            number -= count
        return ZONES[0]

    def _cut_file(self, number: int) -> Path:
        return self.folder / f"cut-{number}.json"

    def _cut(self, number: int, how: str) -> None:
        """Cut a gateway's links to all servers, or heal them if ``how`` is empty."""
        new = self._cut_file(number).with_suffix(".new")
        new.write_text(json.dumps({"how": how, "ports": self.site.server_ports}))
        new.rename(self._cut_file(number))

    def _cut_heals(self, number: int) -> None:
        """All cuts of a gateway end with the first that does."""
        self._cut(number, "")
        begun_s = self._cut_s.pop(number, None)
        if begun_s is not None:
            fault = GatewayFault(number, begun_s, time.monotonic())
            self.evidence.server_cuts.append(fault)

    def _is_ready(self, number: int) -> bool:
        try:
            return self.site.ready(self._ready_ports[number])
        except OSError:
            return False

    # Faults.

    def begin(self, fault: Fault) -> None:
        """Do it."""
        kind, target = fault.kind, fault.target
        if kind in _AWAY:
            now_s = time.monotonic()
            self._away_s.setdefault(target, now_s)
            began_s = self._outage_s if kind in _OUTAGES else self._stop_s
            began_s.setdefault(target, now_s)
        if kind in _UNSOUND:
            self._unsound_s[fault] = time.monotonic()
        if kind in _STORE_FAULTS:
            self._store_fault_s = time.monotonic()
            self.site.store(fault=_STORE_FAULTS[kind])
        elif kind in _SERVER_FAULTS:
            self._set_faults(target, _SERVER_FAULTS[kind])
        elif kind in _LIMITS:
            self._limited_s.setdefault(target, time.monotonic())
            self._set_faults(target, {})
        elif kind in _CUTS:
            self._cut_s.setdefault(target, time.monotonic())
            self._cut(target, _CUTS[kind])
        elif kind in _LINK_FAULTS:
            self._link_fault_s.setdefault(target, time.monotonic())
            self._links.ask("POST", f"/links/{target}", _LINK_FAULTS[kind])
        elif kind in LEAVINGS:
            self._begin_leaving(fault)
        elif kind in SILENCES:
            self._silence(_silenced(kind, target), fault.for_s)
        else:
            self._once(kind, target)

    def _once(self, kind: FaultKind, target: int) -> None:
        """Do what isn't a state of the stand-in."""
        match kind:
            case FaultKind.GATEWAY_KILLED:
                self._end_process(target, signal.SIGKILL)
            case FaultKind.GATEWAY_PAUSED:
                self._send(target, signal.SIGSTOP)
            case FaultKind.GATEWAY_SUSPENDED:
                self._send(target, signal.SIGUSR1)
            case FaultKind.GATEWAY_STOPPED:
                self._end_process(target, signal.SIGTERM)
            case FaultKind.SETTINGS_CHANGED:
                self._send(target, signal.SIGHUP)
            case FaultKind.ENGINE_REPLACED:
                self._engine_replaced(target)
            case FaultKind.ENGINE_LEAVES:
                self._engine_leaves(target)
            case FaultKind.STORE_FORGETS:
                self.site.store(compact=True)
            case FaultKind.STORE_OPEN_SILENT:
                self._store_open_silent()
            case FaultKind.STORE_RESTORED:
                self.site.store(copy=True)
            case FaultKind.CONFIGURATION_CHANGED:
                self._configure()
            case FaultKind.ROWS_MALFORMED:
                self._list_malformed_rows()
            case FaultKind.KEY_REVOKED:
                self._key_changes(_SPARE_KEYS[target % len(_SPARE_KEYS)])
            case FaultKind.LAST_KEY_REVOKED:
                self._key_changes(_SECOND_KEYS[0])
            case FaultKind.ENGINES_CRASH:
                self._engines_crash()
            case FaultKind.STREAM_CRASHES_ENGINES:
                self._begin_guilty(CallKind.STREAM)
            case FaultKind.CALL_CRASHES_SERVICES:
                self._begin_guilty(CallKind.AGAIN)
            case _:
                raise AssertionError(f"a fault of the stand-in came here: {kind}")

    def end(self, fault: Fault) -> None:
        """Undo what lasts."""
        kind, target = fault.kind, fault.target
        if kind in _STORE_FAULTS:
            self.site.store(fault="")
            fault_s = StoreFault(self._store_fault_s, time.monotonic())
            self.evidence.store_faults.append(fault_s)
        elif kind in _SERVER_FAULTS:
            self._set_faults(target, {})
        elif kind in _LIMITS:
            self._limit_ends(target)
        elif kind in _CUTS:
            self._cut_heals(target)
        elif kind in _LINK_FAULTS:
            self._link_heals(target)
        elif kind in (FaultKind.GATEWAY_KILLED, FaultKind.GATEWAY_STOPPED):
            self._start_again(target)
            self._back(target)
        elif kind in (FaultKind.GATEWAY_PAUSED, FaultKind.GATEWAY_SUSPENDED):
            self._await_stopped(target)
            self._send(target, signal.SIGCONT)
            self._back(target)
        elif kind is FaultKind.STORE_RESTORED:
            self._store_restored()
        elif kind is FaultKind.ROWS_MALFORMED:
            keys = range(len(_NO_ADDRESSES))
            self.site.put([("servers", f"malformed-{key}", None) for key in keys])
        elif kind is FaultKind.ENGINE_LEAVES:
            # What said that it leaves doesn't come back; another takes its place.
            self._engine_replaced(target)
        elif kind in LEAVINGS:
            self._end_leaving(fault)
        if fault in self._unsound_s:
            begun_s = self._unsound_s.pop(fault)
            server_fault = ServerFault(target, begun_s, time.monotonic())
            self.evidence.server_faults.append(server_fault)

    def _list_malformed_rows(self) -> None:
        """List servers of both pools with what is no address; the operator ends it."""
        row = self.site.server_row(0)[2]
        pools = ("engines", "plain")
        self.site.put(
            [
                (
                    "servers",
                    f"malformed-{number}",
                    row | {"service": pools[number % 2], "address": address},
                )
                for number, address in enumerate(_NO_ADDRESSES)
            ]
        )

    def _set_faults(self, number: int, faults: dict) -> None:
        """Replace a server's faults; it goes on naming its limit."""
        named = {"names_limit": _LIMIT_PER_S} if number in self._limited_s else {}
        self.site.faults(f"s{number}", **_ALWAYS, **named, **faults)

    def _limit_ends(self, number: int) -> None:
        begun_s = self._limited_s.pop(number, None)
        if begun_s is None:
            return
        arrived = self.site.control.get("/servers")[f"s{number}"]["arrived"]
        names = frozenset(each["by"] for each in arrived if each["at_s"] >= begun_s)
        ended_s = time.monotonic()
        limit = LimitNamed(names, _LIMIT_PER_S, begun_s, ended_s)
        self.evidence.limits.append(limit)
        self._set_faults(number, {})

    def _link_heals(self, number: int) -> None:
        """All that was done to a link ends with the first that does."""
        self._links.ask("POST", f"/links/{number}", _SOUND_LINK)
        begun_s = self._link_fault_s.pop(number, None)
        if begun_s is not None:
            fault = GatewayFault(number, begun_s, time.monotonic())
            self.evidence.link_faults.append(fault)

    def _back(self, number: int) -> None:
        """A gateway that was away runs again."""
        seen, now_s = self.evidence, time.monotonic()
        for begun, faults in (
            (self._away_s, seen.gateway_faults),
            (self._outage_s, seen.gateway_outages),
            (self._stop_s, seen.gateway_stops),
        ):
            begun_s = begun.pop(number, None)
            if begun_s is not None:
                faults.append(GatewayFault(number, begun_s, now_s))

    def _send(self, number: int, what: signal.Signals) -> None:
        process = self._processes[number]
        if process.poll() is None:
            process.send_signal(what)

    def _await_stopped(self, number: int) -> None:
        """Wait until it has stopped: a suspended one does so itself, maybe late.

        Woken before that, it would stop for good.
        """
        process = self._processes[number]
        give_up_s = time.monotonic() + _STOP_S
        while time.monotonic() < give_up_s and process.poll() is None:
            stat = Path(f"/proc/{process.pid}/stat").read_text()
            if stat.rpartition(")")[2].split()[0] == "T":
                return
            time.sleep(0.01)

    def _end_process(self, number: int, how: signal.Signals) -> None:
        self._ending.add(self._processes[number].pid)
        self._send(number, how)

    def _start_again(self, number: int) -> None:
        """Start a gateway that was told to end, unless another fault's end did so."""
        process = self._processes[number]
        if process.pid not in self._ending:
            return
        if not self._ended_within(process, SETTINGS["grace_s"] + 2):
            self.evidence.broken_invariants.append(
                f"gateway {number} outlived its stop"
            )
            process.kill()
        process.wait()
        self._start_gateway(number)

    def _ended_within(self, process: Popen[bytes], limit_s: float) -> bool:
        """Wake it until it ends: it may have been told to stop itself meanwhile."""
        give_up_s = time.monotonic() + limit_s
        while time.monotonic() < give_up_s:
            process.send_signal(signal.SIGCONT)
            try:
                process.wait(_WAKE_EVERY_S)
                return True
            except TimeoutExpired:
                pass  # it has until the limit
        return False

    def _silence(self, numbers: range, for_s: float) -> None:
        """Let servers fall silent; one that still is keeps its silence.

        Else two silences would make one that is longer than a sound server's.
        """
        now_s = time.monotonic()
        speaking = [x for x in numbers if self._silent_until_s.get(x, 0.0) < now_s]
        self._silent_until_s.update(dict.fromkeys(speaking, now_s + for_s))
        self.site.silence(tuple(f"s{each}" for each in speaking), for_s)

    def _engines_crash(self) -> None:
        for engine in range(ENGINES):
            self._down(engine, time.monotonic())
            self.site.crash(engine, _DOWN_S)

    def _down(self, number: int, at_s: float) -> None:
        """Note a server that ended and comes back."""
        fault = ServerFault(number, at_s, at_s + _DOWN_S)
        self.evidence.server_faults.append(fault)

    def _engine_replaced(self, number: int) -> None:
        self._lives += 1
        self.site.rename(number, f"e{number}-{self._lives}")

    def _engine_leaves(self, number: int) -> None:
        self.site.put_server(number, "draining")
        name = self.site.identity(number)
        self.evidence.left.append(ServerLeft(name, time.monotonic()))

    def _listed(self, number: int) -> None:
        pool = "engines" if number < self.servers else "plain"
        listed = ServerListed(self.site.identity(number), pool, time.monotonic())
        self.evidence.listed.append(listed)

    def _begin_leaving(self, fault: Fault) -> None:
        """Servers leave, rows lapse, and answers or reads fail beside it."""
        match fault.kind:
            case FaultKind.SERVER_LEAVES | FaultKind.SERVER_GONE:
                self._server_leaves(fault)
            case FaultKind.ROW_LAPSES:
                self._drop_row(fault.target)
            case FaultKind.STORE_LOSES_ANSWERS:
                self._store_loses_answers()
            case FaultKind.STORE_COPIED:
                self.site.store(copy=True)
            case FaultKind.STORE_BEHIND:
                self._store_fault_s = time.monotonic()
                half_s = fault.for_s / 2
                gap = {"silent_s": half_s, "for_s": half_s, "later_pages": False}
                self.site.store(gap=gap)

    def _end_leaving(self, fault: Fault) -> None:
        number = fault.target
        match fault.kind:
            case FaultKind.SERVER_LEAVES | FaultKind.SERVER_GONE:
                self._engine_replaced(number)
                self.site.faults(f"s{number}", **_ALWAYS)
                self._listed(number)
            case FaultKind.ROW_LAPSES:
                self.site.put_server(number)
            case FaultKind.STORE_BEHIND:
                behind = StoreFault(self._store_fault_s, time.monotonic())
                self.evidence.store_faults.append(behind)

    def _server_leaves(self, fault: Fault) -> None:
        """It serves on, and says in reports and answers that it leaves."""
        number = fault.target
        name = self.site.identity(number)
        if fault.kind is FaultKind.SERVER_LEAVES:
            self.site.put_server(number, "draining")
        else:
            self._drop_row(number)
        self.evidence.left.append(ServerLeft(name, time.monotonic()))
        leaves_ms = round(fault.for_s * 1000)
        self.site.faults(f"s{number}", **_ALWAYS, leaves_ms=leaves_ms)

    def _drop_row(self, number: int) -> None:
        self.site.put([("servers", self.site.identity(number), None)])

    def _store_loses_answers(self) -> None:
        """What is open to the store says nothing more, and new connections work."""
        now_s = time.monotonic()
        for number in range(self.gateways):
            self._links.ask("POST", f"/links/{number}", {"silence": True})
            self.evidence.link_faults.append(GatewayFault(number, now_s, now_s))

    def _store_open_silent(self) -> None:
        """Counts as a fault of the store, since every question that is open hangs."""
        now_s = time.monotonic()
        self.evidence.store_faults.append(StoreFault(now_s, now_s))
        self.site.store(open_silent=True)

    def _store_restored(self) -> None:
        """It comes back from the copy that was made when the fault began.

        A fault of the store until the operator and the servers have written again.
        """
        now_s = time.monotonic()
        self.evidence.store_faults.append(StoreFault(now_s, now_s + _WRITTEN_AGAIN_S))
        self.site.store(restore=True, again_s=_WRITTEN_AGAIN_S)

    def _key_changes(self, key: str) -> None:
        """Take a key away, or give it again if it was taken before."""
        begun_s = time.monotonic()
        revoked_s = self._revoked_s.pop(key, None)
        if revoked_s is None:
            self._revoked_s[key] = begun_s
        self._configure()
        if revoked_s is None:
            self._revoked_s[key] = time.monotonic()
        else:
            self.evidence.revoked.append(KeyRevoked(key, revoked_s, begun_s))

    def _begin_guilty(self, kind: CallKind) -> None:
        """A request that ends its servers comes from now on until callers stop."""
        number = len(self.guilty)
        caller = GuiltyCaller(
            _GUILTY_NUMBERS + number,
            self.ports,
            (KEY,),
            number,
            kind=kind,
            guilty=f"{GUILTY}{number}",
        )
        self.guilty.append(caller)
        caller.start()

    # What is seen.

    def look(self, within_s: float) -> None:
        """Note how long each gateway takes until it serves again, and its size."""
        begun_s = time.monotonic()
        gone = self._revoked_s.items()
        self.evidence.revoked += [KeyRevoked(key, at_s) for key, at_s in gone]
        for number in range(self.gateways):
            self.evidence.whole_again_s.append(self._serves(number, begun_s, within_s))
        for process in self._processes.values():
            if process.poll() is None:
                self._size_of(process.pid)
        for log in self.folder.glob("g*.log"):
            self._read_log(log)
        for name, state in self.site.control.get("/servers").items():
            number = int(name.removeprefix("s"))
            for run in state["ran"]:
                self._ran(run)
            self.evidence.arrivals += [
                ServerArrival(each["by"], each["request_id"], each["at_s"])
                for each in state["arrived"]
            ]
            self.evidence.reached += [
                ServerReached(number, each["by"], each["request_id"], each["at_s"])
                for each in state["held"] + state["arrived"]
            ]
            for each in state["crashed"]:
                self._down(number, each["at_s"])
                crash = Crash(state["identity"], each["path"], each["at_s"])
                self.evidence.crashes.append(crash)

    def _serves(self, number: int, begun_s: float, within_s: float) -> float | None:
        port = self.ports[number]
        while time.monotonic() < begun_s + within_s:
            try:
                answer = self.site.ask("/again/x", port=port)
                if answer.status == 200 and self._is_ready(number):
                    return time.monotonic() - begun_s
            except OSError:
                pass  # it doesn't listen yet; the time runs
            time.sleep(0.05)
        return None

    def _size_of(self, pid: int) -> None:
        status = Path(f"/proc/{pid}/status").read_text().splitlines()
        (peak,) = (each for each in status if each.startswith("VmHWM"))
        seen = self.evidence
        seen.memory_mb = max(seen.memory_mb, int(peak.split()[1]) / 1024)
        count = len(list(Path(f"/proc/{pid}/fd").iterdir()))
        seen.descriptors = max(seen.descriptors, count)

    def _read_log(self, log: Path) -> None:
        lines = log.read_text().splitlines()
        seen = self.evidence
        seen.broken_invariants += _logs.failures(log.name, lines)
        most = float(_logs.most_lines_a_second(lines))
        seen.log_lines_s = max(seen.log_lines_s, most)
        epoch_s = time.time() - time.monotonic()
        seen.barred += _logs.bars(log.stem, lines, epoch_s)
        seen.told += _logs.told(log.stem, lines, epoch_s)
        seen.chosen += _logs.choices(log.stem, lines)

    def _ran(self, run: dict) -> None:
        headers = run["headers"]
        self.evidence.runs.append(
            ServerRun(
                run["by"],
                headers["request-id"],
                run["at_s"],
                "authorization" in headers,
            )
        )


def _silenced(kind: FaultKind, target: int) -> range:
    """The numbers of the servers that a silence is about."""
    match kind:
        case FaultKind.ENGINE_SILENT:
            return range(target, target + 1)
        case FaultKind.ZONE_SILENT:
            return range(target, ENGINES + SERVICES, len(ZONES))
        case FaultKind.ENGINES_SILENT:
            return range(ENGINES)
        case _:
            return range(ENGINES, ENGINES + SERVICES)


def _free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.11", 0))
        return int(probe.getsockname()[1])
