"""Short seeded soak runs, and broken variants that the soak's checks must report."""

import asyncio

import pytest

from ebonylb_standins.soak.run import run_soak

# Seeds of past failures, each with its cause.
REGRESSIONS = (
    211,  # shutdown waited up to a minute for a request whose body never arrived
    244,  # a timeout of the HTTP library swallowed a cancellation after a pause
)
SHORT_S, REGRESSION_S = 6.0, 12.0
# Each run uses its own addresses: 127.0.0.N and the next three.
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
            (
                "order_without_waiting",
                "orders of two holders within a lease",
                BROKEN_IP + 5,
            ),
            ("score_early", "scored before its text ended", BROKEN_IP + 10),
            ("list_without_score", "listed without a score", BROKEN_IP + 15),
        ],
    )
    def test_a_broken_variant_is_reported(self, variant, expected_check, first_ip):
        program = ("-m", "ebonylb_standins.soak.broken", variant)
        failures = asyncio.run(run_soak(1, 8.0, first_ip, program=program))
        assert expected_check in {check for _, check, _ in failures}
