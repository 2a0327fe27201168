"""Short seeded soak runs, and broken variants that the soak's checks must report."""

import asyncio
import random
import sys
from types import SimpleNamespace

import pytest

from ebonylb_standins.site.control_plane import FakeControlPlane, RecordedCall
from ebonylb_standins.soak import duties
from ebonylb_standins.soak.customers import (
    REVOKE_S,
    CustomerKeys,
    revoke_behind_cut,
)
from ebonylb_standins.soak.faults import terminate_and_restart
from ebonylb_standins.soak.run import run_soak

# Seeds of past failures, each with its cause.
REGRESSIONS = (
    211,  # shutdown waited up to a minute for a request whose body never arrived
    244,  # a timeout of the HTTP library swallowed a cancellation after a pause
)
SHORT_S, REGRESSION_S = 6.0, 12.0
# Each run uses its own addresses: 127.0.0.0 plus N and the next three. Those of tests
# of sites, which may run at the same time, are below 256.
SHORT_IP, REGRESSION_IP, BROKEN_IP, PAIR_IP = 200, 620, 205, 600


async def disturb_customers_and_duties(site, rng, until_s):
    """Create the situations in which the broken variants differ from the product.

    Random faults of a short run may create neither: an entry VM that is cut off from
    the store when a key is taken away, and several calls of a duty at the same time.
    """
    await asyncio.gather(
        revoke_behind_cut(site, rng, until_s),
        duties.answer_slowly(site, rng, until_s),
    )


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

    @pytest.mark.parametrize(
        ("checks_by_variant", "first_ip"),
        [
            (
                {
                    "honour_keys_forever": "revoked key ran",
                    "sum_again": "two counts for a window",
                },
                PAIR_IP,
            ),
            (
                {
                    "pass_keys_on": "key reached a server",
                    "act_without_lease": "holders A, B, A",
                },
                PAIR_IP + 5,
            ),
        ],
    )
    def test_broken_variants_of_customers_and_duties_are_reported(
        self, checks_by_variant, first_ip
    ):
        """Two at a time, of parts that have nothing in common, which saves a run."""
        program = ("-m", "ebonylb_standins.soak.broken", *checks_by_variant)
        failures = asyncio.run(
            run_soak(
                1,
                5.0,
                first_ip,
                program=program,
                disturb=disturb_customers_and_duties,
            )
        )
        assert set(checks_by_variant.values()) <= {check for _, check, _ in failures}

    def test_nothing_is_reported_of_the_product_under_the_same_faults(self):
        run = run_soak(1, 5.0, PAIR_IP, disturb=disturb_customers_and_duties)
        assert asyncio.run(run) == []


class TestChecks:
    @pytest.mark.parametrize(("count", "is_reported"), [(40, False), (36, True)])
    def test_usage_that_differs_is_reported(self, count, is_reported):
        """Guards against a comparison that accepts any count."""

        async def check():
            keys, failures = CustomerKeys(), []
            for number in range(40):
                keys.record(f"q{number}", "acme", keys.in_force["acme"][0])
            begun_ms = dict.fromkeys(keys.sendings, 7_500.0)
            call = RecordedCall(0.0, "usage", "vm-0", 1, {"acme": count}, window=7)
            site = SimpleNamespace(
                servers={"desk-0": SimpleNamespace(begun_ms=begun_ms)},
                keys=keys,
                platform=FakeControlPlane(None, calls=[call]),
                record_failure=lambda *failure: failures.append(failure),
            )
            duties.check_window(site, 7)
            return failures

        assert bool(asyncio.run(check())) is is_reported

    def test_only_keys_taken_away_long_ago_must_not_run(self):
        async def check():
            keys = CustomerKeys()
            sending = keys.record("q", "acme", keys.in_force["acme"][1])
            assert keys.may_run(sending)
            keys.replace("acme")
            assert keys.may_run(sending)
            keys.removed_s[sending.key] = sending.sent_s - REVOKE_S - 0.1
            assert not keys.may_run(sending)

        asyncio.run(check())


class TestFaults:
    def test_a_terminated_process_may_be_replaced_by_another_fault(self):
        """Guards against a soak that waits for the end of the next process.

        Seed 4114 waited for ever: a kill came during the shutdown, and its restart
        before the end of the first process had been noticed.
        """

        async def start():
            program = "import time; time.sleep(60)"
            return await asyncio.create_subprocess_exec(sys.executable, "-c", program)

        async def scenario():
            first, second = await start(), await start()
            vm = SimpleNamespace(name="vm-0", process=first, send_signal=lambda _: None)
            restarted = []

            async def restart(entry_vm):
                restarted.append(entry_vm.name)

            site = SimpleNamespace(vms={vm.name: vm}, restart=restart)
            fault = asyncio.create_task(terminate_and_restart(site, random.Random(1)))
            await asyncio.sleep(0.1)
            first.kill()
            vm.process = second
            try:
                async with asyncio.timeout(10):
                    await fault
                assert restarted == ["vm-0"]
                assert second.returncode is None
            finally:
                second.kill()
                await second.wait()

        asyncio.run(scenario())
