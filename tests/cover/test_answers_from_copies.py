"""An answer goes on from a copy of its run; its prompt is read again at last."""

from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from coursekeel.answers import (
    AnswerCore,
    AnswerPolicy,
    AttemptEnded,
    CancelAttempt,
    CopyPlaced,
    EndpointSilent,
    Expected,
    FinishArrived,
    Granted,
    HeadArrived,
    Loss,
    OpenAttempt,
    SeekEndpoint,
    SetAlarm,
    Started,
    StreamHead,
    Tick,
    TokensArrived,
    Way,
)
from coursekeel.forwarding import EventLedger

POLICY = AnswerPolicy(
    patience_ms=20_000,
    first_token_ms=1e12,
    silence_ms=300,
    races=False,
    deaths_before_stop=5,
    own_stream_tries=0,
)


class Driver:
    """One answer, with the actions of the last event."""

    def __init__(self, policy: AnswerPolicy = POLICY) -> None:
        self.core = AnswerCore("r", Expected("p", "", ""), policy, EventLedger())
        self.now_ms = 0.0
        self.actions = self.core.handle(Started(), 0.0)

    def tell(self, event):
        self.actions = self.core.handle(event, self.now_ms)
        return self.actions

    def opened(self) -> OpenAttempt | None:
        return next((a for a in self.actions if isinstance(a, OpenAttempt)), None)

    def stream(self, number: int, upto: int) -> None:
        label = self.core.attempts[number].label
        start = self.core.ledger.next_position
        if not self.core.attempts[number].streaming:
            head = StreamHead(label, label, "p", "", "", "", start)
            self.tell(HeadArrived(number, head))
        numbers = list(range(start + 1, upto + 1))
        events = [b"%d" % each for each in numbers]
        self.tell(TokensArrived(number, label, start, numbers, events))


def begun(copy: str = "b") -> Driver:
    driver = Driver()
    driver.tell(Granted("a"))
    if copy:
        driver.tell(CopyPlaced(1, copy))
    return driver


def test_a_cut_run_goes_on_from_its_copy_without_asking_routing():
    driver = begun()
    driver.stream(1, 5)
    driver.tell(AttemptEnded(1, Loss.CUT))
    opened = driver.opened()
    assert (opened.endpoint_id, opened.way, opened.from_position) == ("b", Way.COPY, 5)
    assert not any(isinstance(each, SeekEndpoint) for each in driver.actions)


def test_a_run_whose_prompt_was_being_read_goes_on_from_its_copy():
    driver = begun()
    driver.tell(AttemptEnded(1, Loss.CUT))
    assert driver.opened().way is Way.COPY


def test_a_silent_run_is_closed_before_its_copy_goes_on():
    driver = begun()
    driver.stream(1, 5)
    driver.tell(EndpointSilent("a"))
    kinds = [type(each) for each in driver.actions]
    assert kinds.index(CancelAttempt) < kinds.index(OpenAttempt)


def test_without_a_copy_the_prompt_is_read_again():
    driver = begun(copy="")
    driver.stream(1, 5)
    driver.tell(AttemptEnded(1, Loss.CUT))
    assert driver.opened() is None
    assert any(isinstance(each, SeekEndpoint) for each in driver.actions)


def test_a_copy_that_is_not_there_leads_to_reading_again():
    driver = begun()
    driver.stream(1, 5)
    driver.tell(AttemptEnded(1, Loss.CUT))
    driver.tell(AttemptEnded(2, Loss.REFUSED))
    assert any(isinstance(each, SeekEndpoint) for each in driver.actions)
    driver.tell(Granted("c"))
    assert driver.opened().way is Way.PREFILL


def test_a_copy_follows_where_the_engines_own_run_cannot_be_read():
    """Seen in the demo: the killed engine was asked for its run first, and the copy
    was forgotten with the answer."""
    driver = Driver(evolve(POLICY, own_stream_tries=1))
    driver.tell(Granted("a"))
    driver.tell(CopyPlaced(1, "b"))
    driver.stream(1, 5)
    driver.tell(AttemptEnded(1, Loss.CUT))
    assert driver.opened().way is Way.OWN_STREAM
    driver.tell(AttemptEnded(2, Loss.NOT_SENT))
    opened = driver.opened()
    assert (opened.endpoint_id, opened.way) == ("b", Way.COPY)
    assert opened.run_id == driver.core.attempts[1].run_id


def racing() -> Driver:
    driver = Driver(evolve(POLICY, races=True))
    driver.tell(Granted("a"))
    driver.tell(CopyPlaced(1, "b"))
    driver.stream(1, 5)
    driver.tell(EndpointSilent("a"))
    return driver


def test_a_silent_run_that_may_speak_again_is_raced_from_its_copy():
    driver = racing()
    assert driver.opened().way is Way.COPY
    assert not any(isinstance(each, CancelAttempt) for each in driver.actions)
    driver.stream(1, 6)
    assert CancelAttempt(2) in driver.actions


def test_a_racing_copy_that_is_not_there_is_followed_by_reading_again():
    driver = racing()
    driver.tell(AttemptEnded(2, Loss.REFUSED))
    assert any(isinstance(each, SeekEndpoint) for each in driver.actions)
    driver.tell(Granted("c"))
    assert driver.opened().way is Way.PREFILL


def test_the_alarm_is_set_for_silence_once_events_came():
    """Seen on a played day: dark endpoints were waited for to the deadline."""
    driver = begun()
    driver.now_ms = 1_000.0
    driver.stream(1, 1)
    alarms = [each for each in driver.actions if isinstance(each, SetAlarm)]
    assert alarms[-1].at_ms == 1_300.0
    driver.now_ms = 1_300.0
    driver.tell(Tick())
    assert driver.opened().way is Way.COPY


def test_a_second_copy_is_used_when_the_first_ones_endpoint_dies():
    driver = begun()
    driver.stream(1, 5)
    driver.tell(AttemptEnded(1, Loss.CUT))
    driver.tell(CopyPlaced(2, "c"))
    driver.stream(2, 9)
    driver.tell(AttemptEnded(2, Loss.CUT))
    opened = driver.opened()
    assert (opened.endpoint_id, opened.way, opened.from_position) == ("c", Way.COPY, 9)


@given(st.lists(st.sampled_from(["cut", "refuse", "silent", "tick", "more"])))
def test_at_most_one_run_is_open_at_any_time(steps):
    """A run that goes on elsewhere while the old one works would run twice."""
    driver = begun()
    alive = {1}
    granted = 0
    for step in steps:
        if driver.core.ended:
            break
        driver.now_ms += 100.0
        number = max(alive, default=0)
        if step == "more" and number:
            driver.stream(number, driver.core.ledger.next_position + 1)
        elif step == "cut" and number:
            alive.discard(number)
            driver.tell(AttemptEnded(number, Loss.CUT))
        elif step == "refuse" and number:
            alive.discard(number)
            driver.tell(AttemptEnded(number, Loss.REFUSED))
        elif step == "silent" and number:
            driver.tell(EndpointSilent(driver.core.attempts[number].endpoint_id))
        else:
            driver.tell(Tick())
        actions = list(driver.actions)
        while actions:
            action = actions.pop(0)
            if isinstance(action, CancelAttempt):
                alive.discard(action.attempt)
            elif isinstance(action, OpenAttempt):
                alive.add(action.attempt)
                actions += driver.tell(CopyPlaced(action.attempt, f"k{granted}"))
            elif isinstance(action, SeekEndpoint):
                granted += 1
                actions += driver.tell(Granted(f"g{granted}"))
        assert len(alive) <= 1
    if not driver.core.ended and alive:
        number = max(alive)
        driver.stream(number, driver.core.ledger.next_position + 1)
        label = driver.core.attempts[number].label
        position = driver.core.ledger.next_position
        driver.tell(FinishArrived(number, label, position, "end"))
        assert driver.core.state == "finished"


def runs_that_end(lasting_ms: float, sound_after_ms: float) -> int:
    """How many engines end under an answer whose runs each give some pieces first."""
    policy = evolve(POLICY, deaths_before_stop=3, sound_after_ms=sound_after_ms)
    driver = Driver(policy)
    for number in range(1, 20):
        driver.tell(Granted(f"e{number}"))
        driver.stream(number, 2 * number - 1)
        driver.now_ms += lasting_ms
        driver.stream(number, 2 * number)
        driver.tell(AttemptEnded(number, Loss.CUT))
        if driver.core.ended:
            return number
    return number


def test_a_request_that_gives_pieces_before_it_stops_its_engines_is_stopped():
    """One that ended 23 servers came under new ids. Any piece also set back the count
    of one id's lost runs, so that one id alone would have gone on without end."""
    assert runs_that_end(100, sound_after_ms=1_000) == 3
    assert runs_that_end(100, sound_after_ms=0) == 19


def test_runs_that_lasted_speak_for_their_request():
    assert runs_that_end(1_200, sound_after_ms=1_000) == 19
