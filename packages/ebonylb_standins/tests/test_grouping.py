import pytest


class TestGrouping:
    @pytest.mark.xdist_group("grouping")
    def test_groups_reach_the_scheduler(self, request):
        """Guards against xdist groups that are ignored, so that clusters run at once.

        pytest-xdist marks a group in the test's id. pytest 9.2 stores ids elsewhere, so
        all groups were scheduled like single tests: up to six clusters at once starved
        each other, and tests with fixed addresses collided.
        """
        if not request.config.getoption("loadgroup", False):
            pytest.skip("the tests run in one process, one after another")
        assert request.node.nodeid.endswith("@grouping")
