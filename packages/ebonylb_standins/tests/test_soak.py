"""The soak: a short seeded run, and the broken variants that its checks report."""

import asyncio

import pytest

from ebonylb_standins.soak.run import run_soak

# Seeds that failed once, each with its cause, run again here.
REGRESSIONS = (
    211,  # a process waited up to a minute at its end for a request that never came
    244,  # a cancellation was lost to a timeout of the HTTP library after a pause
)
SHORT_S, REGRESSION_S = 6.0, 12.0
# Each test has addresses of its own, 127.0.0.N and the three after it.
SHORT_IP, REGRESSION_IP, BROKEN_IP = 200, 240, 205


@pytest.mark.xdist_group("soak")
class TestSoak:
    def test_all_checks_pass(self):
        assert asyncio.run(run_soak(1, SHORT_S, SHORT_IP)) == []

    @pytest.mark.parametrize("seed", REGRESSIONS)
    def test_regression_seeds_pass(self, seed):
        first_ip = REGRESSION_IP + 5 * REGRESSIONS.index(seed)
        assert asyncio.run(run_soak(seed, REGRESSION_S, first_ip)) == []

    @pytest.mark.parametrize(
        ("variant", "expected_check", "first_ip"),
        [
            ("repeat_bookings", "booking ran twice", BROKEN_IP),
            ("order_without_waiting", "orders in turns", BROKEN_IP + 5),
        ],
    )
    def test_a_broken_variant_is_reported(self, variant, expected_check, first_ip):
        program = ("-m", "ebonylb_standins.soak.broken", variant)
        failures = asyncio.run(run_soak(1, 8.0, first_ip, program=program))
        assert expected_check in {check for _, check, _ in failures}
