"""Tests of route lookup, split routes and configuration versions."""

from hypothesis import given
from hypothesis import strategies as st

from ebonylb.routes import (
    Configuration,
    Route,
    RouteKind,
    RouteTable,
    Target,
    choose_target,
)

ONE_SERVICE = (Target("s", 1),)


def route(name, host="a", prefix="/", targets=ONE_SERVICE):
    return Route(name, host, prefix, RouteKind.IDEMPOTENT, targets)


class TestTable:
    def test_route_with_the_longest_prefix_is_found(self):
        table = RouteTable()
        table.apply(
            Configuration(
                1,
                (route("all"), route("deep", prefix="/x/y/"), route("x", prefix="/x/")),
            )
        )
        assert table.find("a", "/x/y/1").name == "deep"
        assert table.find("a", "/x/y").name == "x"
        assert table.find("A:80", "/x").name == "all"
        assert table.find("b", "/x/") is None

    @given(st.lists(st.integers(1, 50), min_size=1, max_size=20))
    def test_older_configuration_is_never_applied(self, versions):
        table = RouteTable()
        newest = 0
        for version in versions:
            applied = table.apply(Configuration(version, (route(f"r{version}"),)))
            assert applied == (version > newest)
            newest = max(newest, version)
            assert table.find("a", "/").name == f"r{newest}"


class TestSplit:
    def test_repeated_request_keeps_its_service(self):
        split = route("r", targets=(Target("s", 90), Target("t", 10)))
        chosen = {choose_target(split, "one").service for _ in range(20)}
        assert len(chosen) == 1

    def test_requests_are_split_by_weight(self):
        split = route("r", targets=(Target("s", 90), Target("t", 10)))
        count = sum(choose_target(split, f"q{n}").service == "t" for n in range(4_000))
        assert 300 < count < 500
