"""Requests before the first configuration wait for it, until a first read fails."""

from coursekeel.gateway.admission._start_hold import FirstReads, StartHold


def hold_requests(hold: StartHold, count: int) -> tuple[list[int], list[int]]:
    """Hold ``count`` requests; return their numbers, and the list of those resumed."""
    resumed: list[int] = []
    numbers = [hold.add(lambda i=i: resumed.append(i)) for i in range(count)]
    return numbers, resumed


def test_held_requests_resume_in_order_once_both_tables_are_loaded():
    hold = StartHold()
    _, resumed = hold_requests(hold, 3)
    assert len(hold) == 3
    hold.known()
    assert resumed == [0, 1, 2]
    assert hold.state is FirstReads.KNOWN
    assert len(hold) == 0


def test_a_failed_first_read_resumes_all_requests():
    hold = StartHold()
    _, resumed = hold_requests(hold, 2)
    hold.failed()
    assert resumed == [0, 1]
    assert hold.state is FirstReads.FAILED


def test_a_failure_after_the_first_reads_is_ignored():
    hold = StartHold()
    hold.known()
    hold.failed()
    assert hold.state is FirstReads.KNOWN


def test_a_released_request_resumes_alone_and_once():
    hold = StartHold()
    numbers, resumed = hold_requests(hold, 2)
    hold.release(numbers[1])
    hold.release(numbers[1])
    assert resumed == [1]
    hold.known()
    assert resumed == [1, 0]


def test_a_withdrawn_request_is_not_resumed():
    hold = StartHold()
    numbers, resumed = hold_requests(hold, 2)
    hold.withdraw(numbers[0])
    hold.known()
    assert resumed == [1]
