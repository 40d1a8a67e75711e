"""Hypothesis settings: the number of generated schedules in CI and in long runs."""

import os

from hypothesis import Phase, settings


def schedules(in_ci: int, steps: int = 40) -> settings:
    """Run ``in_ci`` schedules, or as many as COURSEKEEL_SCHEDULES says."""
    count = int(os.environ.get("COURSEKEEL_SCHEDULES", in_ci))
    return settings(max_examples=count, stateful_step_count=steps)


def until_failure(steps: int = 40) -> settings:
    """Settings for a naive version: stop at the first failing schedule."""
    return settings(
        max_examples=2_000,
        stateful_step_count=steps,
        phases=[Phase.generate],
        report_multiple_bugs=False,
    )
