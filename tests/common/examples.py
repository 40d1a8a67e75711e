"""How many generated schedules a run takes: few in CI, more when asked for."""

import os

from hypothesis import Phase, settings


def schedules(in_ci: int, steps: int = 40) -> settings:
    """COURSEKEEL_SCHEDULES=10000 makes the long run that docs/PROMISES.md quotes."""
    count = int(os.environ.get("COURSEKEEL_SCHEDULES", in_ci))
    return settings(max_examples=count, stateful_step_count=steps)


def until_broken(steps: int = 40) -> settings:
    """For the naive version: the first schedule that breaks it will do."""
    return settings(
        max_examples=2_000,
        stateful_step_count=steps,
        phases=[Phase.generate],
        report_multiple_bugs=False,
    )
