from functools import partial

import pytest

from ebonylb_standins.bench import site_steps
from ebonylb_standins.bench.runner import ROWS, Job, run_one
from ebonylb_standins.bench.site_steps import SiteTrial


class TestSiteSteps:
    @pytest.mark.parametrize("site", site_steps.SHAPES)
    def test_a_slow_engine_does_not_delay_a_step(self, site):
        """Guards against a step whose last group waits for one slow engine.

        The bound is that of design 1.2 for a slow server.
        """
        policy = partial(SiteTrial, site, "policy", "balanced", 1)
        assert site_steps.step_with_slow_engine(policy)["ratio"] <= 1.3

    def test_a_slow_engine_delays_a_step_of_the_baseline(self):
        """Guards against a disturbance too small to affect even the baseline."""
        baseline = partial(SiteTrial, "abay", "baseline", "balanced", 1)
        assert site_steps.step_with_slow_engine(baseline)["ratio"] > 1.3

    def test_rows_run_with_their_own_trial(self):
        metrics = run_one(Job("steps_due_together", "abay", "baseline", 1))
        assert ROWS["steps_due_together"].target_metric in metrics
