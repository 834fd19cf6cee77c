"""Test configuration: deterministic property tests, and garbage collections as in a gateway."""

import gc

from hypothesis import HealthCheck, settings

settings.register_profile(
    "fixed",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile("fixed")


def pytest_collection_finish() -> None:
    """Exclude the imported modules and collected tests from garbage collections.

    The gateway's program does the same with its imports: a full collection of all these objects
    stops the event loop, and they live until the end anyway.
    """
    gc.collect()
    gc.freeze()
