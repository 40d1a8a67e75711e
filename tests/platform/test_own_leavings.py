"""Servers that say that they leave, while the store's tables don't tell of it."""

import time

import pytest

from standins.site import wait_until
from tests.platform.site import (
    GatewaySite,
    events,
    read,
    running_gateway,
)
from tests.platform.test_cut_from_servers import CutGroup
from tests.platform.test_relay import CUT, MEMBERS, ask, cut_off

_DRAIN_S = 2.0
# How long feeds get no response, and then whole reads are of the copy.
_SILENT_S = 0.2
_BEHIND_S = 3.6
_REVOKE_MS = 5_000
# How long a server isn't asked again after a question.
_INTERVAL_S = 0.3


@pytest.fixture
def site():
    with running_gateway(revoke_ms=_REVOKE_MS) as gateway_site:
        yield gateway_site


def let_tables_lag(site: GatewaySite) -> None:
    """Tables tell of nothing that happens from now on, for some seconds."""
    site.store(copy=True)
    site.store(
        gap={"silent_s": _SILENT_S, "for_s": _BEHIND_S, "later_pages": False},
    )


def ask_until_tables_tell(site: GatewaySite, path: str) -> None:
    end_s = time.monotonic() + _SILENT_S + _BEHIND_S
    while time.monotonic() < end_s:
        assert site.ask(path).status == 200, site.log()[-3_000:]
        time.sleep(0.02)


def starts_after_leaving_s(site: GatewaySite, server: str) -> list[float]:
    state = site.control.get("/servers")[server]
    after_s = [each["at_s"] - state["left_s"] for each in state["arrived"]]
    return [each for each in after_s if each > 0]


def says_leaving(site: GatewaySite, server: str, log: str = "g1") -> bool:
    return any(
        f"endpoint_leaving endpoint={server} source=endpoint" in line
        for line in site.log(log).splitlines()
    )


def state_requests(site: GatewaySite, number: int) -> list[str]:
    return list(site.control.get("/servers")[f"s{number}"]["state_requests"])


@pytest.mark.parametrize("draining", [True, False], ids=["draining", "removed"])
@pytest.mark.parametrize(
    ("path", "number"), [("/again/x", 3), ("/once/x", 3), ("/stream/2", 0)]
)
def test_a_server_gets_nothing_once_it_says_it_leaves_though_no_table_tells(
    site, path, number, draining
):
    site.ask(path)
    let_tables_lag(site)
    if draining:
        site.put_server(number, "draining")
    else:
        site.put([("servers", f"s{number}", None)])
    site.leave(number)
    ask_until_tables_tell(site, path)
    late_s = starts_after_leaving_s(site, f"s{number}")
    assert [each for each in late_s if each > _DRAIN_S] == []
    assert says_leaving(site, f"s{number}")


def learn_of_leaving(site: GatewaySite, path: str, number: int) -> None:
    """Let a server leave beside tables that lag, until the gateway has learned it."""
    let_tables_lag(site)
    site.leave(number)
    end_s = time.monotonic() + _SILENT_S + _BEHIND_S
    while not says_leaving(site, f"s{number}") and time.monotonic() < end_s:
        site.ask(path)
    assert says_leaving(site, f"s{number}")
    site.forget()


def test_a_stream_is_continued_only_at_servers_that_have_not_said_they_leave(site):
    learn_of_leaving(site, "/stream/2", 0)
    for number in (1, 2):
        site.faults(f"s{number}", cut_at=2)
        answer = site.ask("/stream/4")
        assert (answer.status, answer.body) == (200, events(4))
    assert starts_after_leaving_s(site, "s0") == []


def test_a_server_that_said_it_leaves_keeps_no_copies(site):
    learn_of_leaving(site, "/stream/2", 0)
    address = f"127.0.0.1:{site.server_ports[0]}"
    ids = [f"copied-{number}" for number in range(8)]
    for request_id in ids:
        site.ask("/stream/2", request_id=request_id)
    runs = [run for request_id in ids for run in site.ran(request_id)]
    kept_at = [run["headers"].get("kv-backup", "") for run in runs]
    assert any(kept_at)
    assert address not in kept_at


def test_a_stream_that_runs_at_a_server_that_leaves_is_finished_there(site):
    connections = [site.open("/stream/100")[0] for _ in range(3)]
    wait_until(lambda: len(site.open_runs()) == 3, "they run")
    learn_of_leaving(site, "/stream/2", 0)
    answers = [read(connection) for connection in connections]
    assert {(answer.status, answer.body) for answer in answers} == {(200, events(100))}


@pytest.mark.parametrize("faults", [{"closes": True}, {"failing": True}])
def test_a_server_stays_in_use_unless_it_says_itself_that_it_leaves(site, faults):
    """Guards against taking a closing connection, or a failing server, for it."""
    site.faults("s3", **faults)
    for _ in range(20):
        assert site.ask("/again/x").status == 200
    site.faults("s3")
    asked = state_requests(site, 3)
    site.forget()

    def is_used() -> bool:
        assert site.ask("/again/x").status == 200
        return len(site.control.get("/servers")["s3"]["arrived"]) > 0

    wait_until(is_used, "s3 gets requests again")
    assert bool(asked) == ("closes" in faults)
    assert not says_leaving(site, "s3")


def test_a_full_server_that_closes_connections_is_not_taken_for_one_that_leaves(site):
    site.faults("s3", closes=True, full=True)
    for _ in range(10):
        assert site.ask("/again/x").status == 200
    wait_until(lambda: state_requests(site, 3), "it is asked")
    time.sleep(0.2)
    assert not says_leaving(site, "s3")


def test_answers_that_close_lead_to_few_questions(site):
    site.plain_faults(closes=True)
    began_s = time.monotonic()
    for _ in range(100):
        assert site.ask("/again/x").status == 200
    intervals = 1 + (time.monotonic() - began_s) / _INTERVAL_S
    for number in (3, 4, 5):
        assert set(state_requests(site, number)) == {"health"}
        assert len(state_requests(site, number)) <= intervals


def test_answers_that_keep_their_connections_lead_to_no_question(site):
    for _ in range(30):
        assert site.ask("/again/x").status == 200
    assert [state_requests(site, number) for number in (3, 4, 5)] == [[], [], []]


@pytest.mark.parametrize(("path", "number"), [("/again/x", 3), ("/stream/2", 0)])
def test_members_relay_nothing_to_a_server_once_it_says_that_it_leaves(path, number):
    with running_gateway(servers=6, revoke_ms=_REVOKE_MS) as site:
        group = CutGroup(site, revoke_ms=_REVOKE_MS)
        cut_off(group, CUT)
        ask(group, path)
        let_tables_lag(site)
        site.leave(number)
        end_s = time.monotonic() + _SILENT_S + _BEHIND_S
        while time.monotonic() < end_s:
            assert ask(group, path).status == 200, group.log(CUT)[-3_000:]
        late_s = starts_after_leaving_s(site, f"s{number}")
        assert [each for each in late_s if each > _DRAIN_S] == []
        assert any(says_leaving(site, f"s{number}", f"m{each}") for each in MEMBERS)
