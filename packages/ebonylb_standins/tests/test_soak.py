"""The soak: a short seeded run, and the broken variants that its checks report."""

import asyncio

import pytest

from ebonylb_standins.soak.run import soak

# Seeds that failed once, each with its cause, run again here.
REGRESSIONS = (
    211,  # a process waited up to a minute at its end for a request that never came
    244,  # a process that was paused within its grace still served at its end; open
)
SHORT_S, REGRESSION_S = 6.0, 12.0


@pytest.mark.xdist_group("soak")
class TestSoak:
    def test_the_promises_hold(self):
        assert asyncio.run(soak(1, SHORT_S, 200)) == []

    @pytest.mark.parametrize("seed", REGRESSIONS)
    def test_seeds_that_failed_once_pass(self, seed):
        assert asyncio.run(soak(seed, REGRESSION_S, 200)) == []

    @pytest.mark.parametrize(
        ("variant", "reported"),
        [
            ("repeat_bookings", "booking ran twice"),
            ("order_without_waiting", "orders in turns"),
        ],
    )
    def test_a_broken_variant_is_reported(self, variant, reported):
        program = ("-m", "ebonylb_standins.soak.broken", variant)
        failures = asyncio.run(soak(1, 8.0, 210, program=program))
        assert reported in {promise for _, promise, _ in failures}
