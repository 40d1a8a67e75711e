"""A short soak with a fixed schedule: real processes, faults from outside."""

from soak._play import play
from soak._schedule import Fault, FaultKind, Schedule

# One fault of each part, so that the verdict doesn't hang on which meets which.
SHORT = Schedule(
    16.0,
    3,
    1,
    (
        Fault(FaultKind.ENGINE_DARK, 1.5, 1.5, 0),
        Fault(FaultKind.GATEWAY_KILLED, 2.5, 1.0, 1),
        Fault(FaultKind.STORE_SILENT, 4.0, 2.0),
        Fault(FaultKind.SERVICE_RESETS, 5.0, 1.0, 4),
        Fault(FaultKind.KEY_REVOKED, 6.5, 0.0),
        Fault(FaultKind.ENGINE_LEAVES, 7.0, 1.0, 2),
    ),
)

# Requests that end their servers, beside engines that all end at once and instances
# that come back: what each of them has to learn anew.
CRASHING = Schedule(
    18.0,
    3,
    2,
    (
        Fault(FaultKind.STREAM_CRASHES_ENGINES, 1.0, 0.0),
        Fault(FaultKind.ENGINES_CRASH, 3.0, 0.0),
        Fault(FaultKind.CALL_CRASHES_SERVICES, 3.5, 0.0),
        Fault(FaultKind.GATEWAY_PAUSED, 4.0, 2.5, 0),
        Fault(FaultKind.GATEWAY_KILLED, 5.0, 1.0, 1),
        Fault(FaultKind.ENGINES_CRASH, 7.5, 0.0),
    ),
)


def test_a_short_soak_breaks_no_promise():
    played = play(SHORT)
    assert played.violations == []
    served = [each for each in played.evidence.calls if each.status == 200]
    assert len(served) > 100


def test_requests_that_end_their_servers_reach_few_more_and_bar_nobody_else():
    played = play(CRASHING)
    assert played.violations == []
    assert len({each.path for each in played.evidence.crashes}) == 2
    served = [each for each in played.evidence.calls if each.status == 200]
    assert len(served) > 100
