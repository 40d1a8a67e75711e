"""The same verdict every time: derived examples, no deadline, no example database."""

from hypothesis import HealthCheck, settings

settings.register_profile(
    "derandomize",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
settings.load_profile("derandomize")
