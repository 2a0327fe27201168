"""Hypothesis settings for all tests."""

from hypothesis import settings

# Derandomized so that each run has the same examples, and without a deadline so
# that no test fails because the machine is slow.
settings.register_profile("repeatable", deadline=None, derandomize=True)
settings.load_profile("repeatable")
