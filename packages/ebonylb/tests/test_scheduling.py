from hypothesis import given
from hypothesis import strategies as st

from ebonylb.interfaces import Clock
from ebonylb.routing.overload import DrainRate
from ebonylb.scheduling import (
    ClusterShares,
    FairQueue,
    QueueEntry,
    ServerWindow,
    SizePredictor,
    fair_weight,
    scheduling_parameters,
)
from ebonylb.settings import Policy


class ManualClock(Clock):
    now = 0.0

    def monotonic_ms(self):
        return self.now

    def wall_ms(self):
        return int(self.now)

    async def sleep_ms(self, duration_ms):
        self.now += duration_ms


def queue_entry(party, tokens=1.0, long=False, constraint="", item=None):
    return QueueEntry(party, tokens, long, constraint, item)


def accept_all(_):
    return True


charges = st.lists(st.integers(1, 50), min_size=1, max_size=40)


class TestFairQueue:
    @given(charges, charges, st.integers(1, 8), st.integers(1, 8))
    def test_served_tokens_follow_the_weights(self, first, second, weight_a, weight_b):
        """Guards against a party that exceeds its share by sending more requests."""
        weights = {"a": weight_a, "b": weight_b}
        queue = FairQueue(weights.__getitem__, 1_000)
        for party, sizes in (("a", first), ("b", second)):
            for size in sizes:
                queue.push(queue_entry(party, size))
        served = {"a": 0.0, "b": 0.0}
        while {"a", "b"} == set(queue.backlogged_parties()):
            served_entry = queue.pop(accept_all)
            served[served_entry.party] += served_entry.tokens
            bound = max(first) / weight_a + max(second) / weight_b
            gap = served["a"] / weight_a - served["b"] / weight_b
            assert abs(gap) <= bound + 1e-6

    @given(
        st.lists(st.tuples(st.sampled_from("abc"), st.booleans(), st.integers(0, 2)))
    )
    def test_queue_is_work_conserving(self, pushes):
        """Guards against an idle server while eligible work waits."""
        queue = FairQueue(lambda _: 1.0, 1_000)
        for party, long, constraint in pushes:
            queue.push(queue_entry(party, 3, long, constraint))
        left = sum(1 for _, _, constraint in pushes if constraint)
        while queue.pop(lambda e: e.constraint != 0) is not None:
            left -= 1
        assert left == 0
        assert len(queue) == sum(1 for _, _, constraint in pushes if not constraint)

    @given(st.lists(st.integers(0, 19), max_size=40))
    def test_removed_entries_are_never_served(self, removals):
        """Guards against running work of disconnected callers and wrong counters."""
        queue = FairQueue(lambda _: 1.0, 1_000)
        entries = [queue_entry("ab"[i % 2], i + 1, i % 3 == 0) for i in range(20)]
        for one in entries:
            queue.push(one)
        removed = {i for i in removals if queue.remove(entries[i])}
        assert len(queue) == 20 - len(removed)
        served = set()
        while (served_entry := queue.pop(accept_all)) is not None:
            served.add(entries.index(served_entry))
        assert served == set(range(20)) - removed
        assert queue.waiting_tokens == 0 and queue.long_count == 0

    def test_short_work_precedes_long_unless_long_first(self):
        """Guards against short work waiting behind long work of its party."""
        queue = FairQueue(lambda _: 1.0, 10)
        queue.push(queue_entry("a", 100, long=True, item="long"))
        queue.push(queue_entry("a", 1, item="short"))
        queue.push(queue_entry("a", 1, item="short"))
        assert queue.pop(accept_all).item == "short"
        assert queue.pop(accept_all, long_first=True).item == "long"

    def test_idle_party_earns_no_credit(self):
        """Guards against a burst after an idle time that starves other parties."""
        queue = FairQueue(lambda _: 1.0, 1_000)
        for _ in range(200):
            queue.push(queue_entry("busy", 10))
        for _ in range(100):
            queue.pop(accept_all)
        for _ in range(100):
            queue.push(queue_entry("late", 10))
        order = [queue.pop(accept_all).party for _ in range(20)]
        assert 9 <= order.count("late") <= 11

    def test_blocked_party_has_bounded_credit(self):
        """Guards against unbounded credit while a party has no eligible server."""
        queue = FairQueue(lambda _: 1.0, 10_000)
        for _ in range(1_000):
            queue.push(queue_entry("open", 10))
            queue.push(queue_entry("blocked", 10, constraint="none"))
        for _ in range(500):
            queue.pop(lambda e: e.constraint != "none")
        order = [queue.pop(accept_all).party for _ in range(100)]
        assert order.count("open") >= 25

    def test_adjust_charge_compensates_misprediction(self):
        """Guards against a party that profits from low predictions."""
        queue = FairQueue(lambda _: 1.0, 1_000)
        for _ in range(100):
            queue.push(queue_entry("small", 10))
            queue.push(queue_entry("large", 10))
        served = {"small": 0, "large": 0}
        for _ in range(55):
            served_entry = queue.pop(accept_all)
            actual = 100 if served_entry.party == "large" else 10
            queue.adjust_charge(served_entry.party, actual - served_entry.tokens)
            served[served_entry.party] += actual
        assert abs(served["small"] - served["large"]) <= 110

    def test_full_queue_displaces_party_over_its_share(self):
        """Guards against one party that fills the whole queue."""
        queue = FairQueue(lambda _: 1.0, 10)
        for number in range(10):
            assert queue.make_room("flood") == (True, None)
            queue.push(queue_entry("flood", item=number))
        assert queue.make_room("flood") == (False, None)
        for _ in range(5):
            admitted, displaced = queue.make_room("other")
            assert admitted and displaced.party == "flood"
            queue.push(queue_entry("other"))
        assert queue.make_room("other") == (False, None)
        assert len(queue) == 10


class TestSizePredictor:
    def test_prediction_is_learned_and_capped_at_the_limit(self):
        """Guards against charging more tokens than the request may generate."""
        predictor = SizePredictor()
        assert predictor.predict("a", "s", "generate", 16) == 16
        for _ in range(100):
            predictor.record("a", "s", "generate", 200)
        assert abs(predictor.predict("a", "s", "generate", 4_000) - 200) <= 2
        assert predictor.predict("a", "s", "generate", 50) == 50

    def test_long_is_relative_to_the_median(self):
        """Guards against treating work of usual size as long."""
        predictor = SizePredictor(long_factor=4.0)
        assert not predictor.is_long("s", 1_000_000)
        for size in [20] * 60 + [1_000] * 40:
            predictor.record("a", "s", "generate", size)
        assert predictor.is_long("s", 100)
        assert not predictor.is_long("s", 70)

    def test_old_sizes_are_forgotten(self):
        """Guards against predictions that do not follow a change of sizes."""
        predictor = SizePredictor()
        for size in [10] * 4_000 + [500] * 4_000:
            predictor.record("a", "s", "k", size)
        assert predictor.predict("a", "s", "k", 10_000) >= 495


def adapt_window(window, gaps, peers=10.0, start=0, fill=True):
    for step, gap in enumerate(gaps, start=start + 1):
        if fill:
            window.record_running(window.size)
        window.record_gap(gap)
        window.adapt(step * 500.0, peers)


class TestServerWindow:
    def test_full_window_grows_while_gaps_are_short(self):
        """Guards against a window that stays below the server's capacity.

        The second run does not fill the window, so the size must stay the same.
        """
        window = ServerWindow(4, 64, 2.0, 0.0)
        adapt_window(window, [10.0] * 5)
        assert window.size == 9
        adapt_window(window, [10.0] * 5, start=5, fill=False)
        assert window.size == 9

    def test_window_grows_while_tokens_per_s_rise(self):
        """Guards against a gap limit that batching engines exceed long before capacity.

        The gap doubles between 1 and 51 requests while tokens/s rise 25 times.
        """
        window = ServerWindow(8, 64, 2.0, 0.0)
        for step in range(1, 61):
            adapt_window(window, [10 * (1 + 0.02 * (window.size - 1))], start=step - 1)
        assert window.size == 64

    def test_window_stops_growing_where_tokens_per_s_level_off(self):
        """Guards against growth that adds latency per token but no throughput."""
        window = ServerWindow(8, 64, 2.0, 0.0)
        for step in range(1, 61):
            gap = 10 * max(1.0, window.size / 16)
            adapt_window(window, [gap], start=step - 1)
        assert 16 <= window.size <= 16 * 1.5

    def test_window_opens_within_seconds(self):
        """Guards against growth so slow that a trainer's step ends before it."""
        window = ServerWindow(8, 64, 2.0, 0.0)
        adapt_window(window, [10.0] * 16)
        assert window.size >= 48

    def test_window_shrinks_when_gaps_double(self):
        """Guards against overloaded servers that keep their load."""
        window = ServerWindow(10, 64, 2.0, 0.0)
        adapt_window(window, [10.0])
        assert window.size == 12
        adapt_window(window, [25.0], start=1, peers=25.0)
        assert window.size == 9

    def test_a_slow_server_gets_one_request_and_recovers(self):
        """Guards against work queued on a slow server, and a server never used again.

        The capacity lost to the slow state must not be offered in the digest.
        """
        window = ServerWindow(16, 64, 2.0, 0.0)
        adapt_window(window, [10.0] + [100.0] * 4)
        assert window.slow and window.size == 1
        assert window.lost_capacity == window.size_before_slow - 1 > 0
        adapt_window(window, [10.0] * 3, start=5)
        assert not window.slow and window.size >= 2 and window.lost_capacity == 0

    def test_a_slow_server_without_peers_is_used_again(self):
        """Guards against limiting the only remaining server to one request a second."""
        window = ServerWindow(16, 64, 2.0, 0.0)
        adapt_window(window, [10.0] + [100.0] * 4)
        assert window.slow
        adapt_window(window, [100.0], peers=None, start=5)
        assert not window.slow and window.size >= 2 and window.lost_capacity == 0

    def test_slow_server_gets_one_probe_per_second(self):
        """Guards against an idle slow server that attracts every next request."""
        window = ServerWindow(16, 64, 2.0, 0.0)
        assert not window.is_probe_due(5_000.0, 5_999.0)
        assert window.is_probe_due(5_000.0, 6_000.0)

    def test_silence_counts_as_a_token_gap(self):
        """Guards against missing a stalled server, which produces no token gaps."""
        window = ServerWindow(16, 64, 2.0, 0.0)
        adapt_window(window, [10.0])
        for step in range(2, 7):
            window.adapt(step * 500.0, 10.0, [step * 500.0])
        assert window.slow


class TestDrainRate:
    def test_only_saturated_intervals_measure_the_capacity(self):
        """Guards against wait estimates derived from the rate of an idle shard."""
        rate = DrainRate(0.0)
        for second in range(1, 4):
            rate.add(1_000)
            rate.update(second * 1_000.0, saturated=True)
        measured = rate.tokens_per_s
        assert measured == 1_000
        rate.add(50)
        rate.update(4_000.0, saturated=False)
        rate.add(50)
        rate.update(5_000.0, saturated=True)  # saturated at the end only
        assert rate.tokens_per_s == measured
        rate.add(50)
        rate.update(6_000.0, saturated=True)
        assert rate.tokens_per_s < measured
        rate.add(5_000)
        rate.update(7_000.0, saturated=False)
        assert rate.tokens_per_s > measured

    def test_idle_interval_starts_no_estimate(self):
        """Guards against a burst refused because the rate was low before it."""
        rate = DrainRate(0.0)
        rate.add(16)
        rate.update(500.0, saturated=False)
        rate.add(16)
        rate.update(1_000.0, saturated=True)
        assert rate.tokens_per_s == 0


class TestFairWeight:
    def test_weight_is_bounded_and_unused_share_is_lent(self):
        """Guards against a party that is starved, and unused share that is not lent."""
        assert fair_weight(2.0, 100, 50, True) == 0.25
        assert fair_weight(1.0, 10_000, 1, True) == 1 / 8
        assert fair_weight(1.0, 1, 10_000, True) == 8
        assert fair_weight(2.0, 100, 50, False) == 2.0

    def test_only_waiting_parties_are_compared(self):
        """Guards against penalizing a party for using share that no other requested."""
        clock = ManualClock()
        shares = ClusterShares(lambda _: 1.0, clock)
        shares.observe("vm-1/x", {"a": 900, "b": 100, "c": 50}, ["a", "b"])
        assert shares.local_weight("a") < 1 < shares.local_weight("b")
        assert shares.local_weight("c") == 1.0
        shares.observe("vm-1/x", {"a": 900, "b": 100}, ["a"])
        assert shares.local_weight("a") == 1.0

    def test_recent_service_decays(self):
        """Guards against tokens served long ago that still reduce a party's weight."""
        clock = ManualClock()
        shares = ClusterShares(lambda _: 1.0, clock)
        shares.observe("vm-1/x", {"a": 800, "b": 0}, ["a", "b"])
        clock.now = 100_000.0
        shares.observe("vm-1/x", {"a": 800, "b": 800}, ["a", "b"])
        assert shares.local_weight("b") < 1 < shares.local_weight("a")


class TestProfiles:
    def test_profiles_differ_in_their_limits(self):
        """Guards against a profile setting that has no effect."""
        parameters = {
            name: scheduling_parameters(Policy(profile=name))
            for name in ("balanced", "idle_time", "tail_latency")
        }
        assert (
            parameters["idle_time"].max_gap_ratio > parameters["balanced"].max_gap_ratio
        )
        assert (
            parameters["tail_latency"].max_gap_ratio
            < parameters["balanced"].max_gap_ratio
        )
        assert (
            parameters["tail_latency"].long_share < parameters["idle_time"].long_share
        )
