from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from ebonylb.retries import AttemptProgress, RetryBudget, should_hedge

SLOW_ATTEMPT = AttemptProgress(
    elapsed_ms=500,
    received_tokens=5,
    remaining_tokens=20,
    idempotent=True,
    long=False,
    running_attempts=1,
)


class TestRetryBudget:
    @given(st.lists(st.booleans(), max_size=300))
    def test_extra_load_is_bounded_for_any_order(self, steps):
        """Guards against retry storms when every server fails."""
        budget = RetryBudget()
        first = extra = 0
        for retry in steps:
            if retry:
                extra += budget.try_spend("a", "s")
            else:
                budget.record_first_attempt("a", "s")
                first += 1
            assert extra <= 2 + 0.08 * first + 1e-9

    def test_parties_and_services_do_not_share_a_bucket(self):
        """Guards against one party using up the retries of others."""
        budget = RetryBudget()
        while budget.try_spend("a", "s"):
            pass
        assert budget.try_spend("b", "s")
        assert budget.try_spend("a", "t")

    def test_balance_is_capped(self):
        """Guards against a burst of retries after a long time without failures."""
        budget = RetryBudget()
        for _ in range(10_000):
            budget.record_first_attempt("a", "s")
        assert sum(budget.try_spend("a", "s") for _ in range(100)) == 10


class TestShouldHedge:
    def test_only_attempts_on_slow_servers_are_hedged(self):
        """Guards against hedges that cost more than they save."""
        assert should_hedge(SLOW_ATTEMPT, 100.0, 10.0, 2.0)
        assert not should_hedge(SLOW_ATTEMPT, 15.0, 10.0, 2.0)

    def test_only_short_idempotent_work_with_one_attempt_is_hedged(self):
        """Guards against running non-idempotent work twice and unlimited hedges."""
        for change in ({"idempotent": False}, {"long": True}, {"running_attempts": 2}):
            assert not should_hedge(replace(SLOW_ATTEMPT, **change), 100.0, 10.0, 2.0)

    def test_almost_finished_attempt_is_not_hedged(self):
        """Guards against a hedge for the last token."""
        assert not should_hedge(
            replace(SLOW_ATTEMPT, remaining_tokens=1), 30.0, 10.0, 2.0
        )
