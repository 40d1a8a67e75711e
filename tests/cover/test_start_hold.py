"""What comes before the first configuration waits for it, or is refused at once."""

from coursekeel.gateway.admission._start_hold import FirstReadings, StartHold


def held(hold: StartHold, count: int) -> tuple[list[int], list[int]]:
    """Let some requests wait; gives their numbers, and who went on so far."""
    resumed: list[int] = []
    numbers = [
        hold.add(lambda each=each: resumed.append(each)) for each in range(count)
    ]
    return numbers, resumed


def test_all_go_on_in_their_order_once_both_tables_are_known():
    hold = StartHold()
    _, resumed = held(hold, 3)
    assert len(hold) == 3
    hold.known()
    assert resumed == [0, 1, 2]
    assert hold.state is FirstReadings.KNOWN
    assert len(hold) == 0


def test_a_reading_that_fails_lets_none_wait_on():
    hold = StartHold()
    _, resumed = held(hold, 2)
    hold.failed()
    assert resumed == [0, 1]
    assert hold.state is FirstReadings.FAILED


def test_a_failure_after_the_start_is_none_of_the_start():
    hold = StartHold()
    hold.known()
    hold.failed()
    assert hold.state is FirstReadings.KNOWN


def test_who_has_waited_long_enough_goes_on_alone_and_once():
    hold = StartHold()
    numbers, resumed = held(hold, 2)
    hold.release(numbers[1])
    hold.release(numbers[1])
    assert resumed == [1]
    hold.known()
    assert resumed == [1, 0]


def test_a_caller_that_left_is_not_served():
    hold = StartHold()
    numbers, resumed = held(hold, 2)
    hold.withdraw(numbers[0])
    hold.known()
    assert resumed == [1]
