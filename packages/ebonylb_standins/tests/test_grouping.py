import pytest


class TestGrouping:
    @pytest.mark.xdist_group("grouping")
    def test_groups_reach_the_scheduler(self, request):
        """Guards against clusters of processes that run side by side unnoticed.

        pytest-xdist marks a group in the test's id. pytest 9.2 keeps ids elsewhere, so
        that with it all groups were run like single tests: up to six clusters at once
        starved each other, and tests with fixed addresses met.
        """
        if not request.config.getoption("loadgroup", False):
            pytest.skip("the tests run in one process, one after another")
        assert request.node.nodeid.endswith("@grouping")
