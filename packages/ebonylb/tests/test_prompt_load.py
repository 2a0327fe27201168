"""Tests of long prompts beside short ones on the same engines."""

import msgspec
import pytest

from ebonylb.batches import BatchItem, rows
from ebonylb.batches.placement import ItemRequirements
from ebonylb.batches.prompt_load import DEFAULT_TOKENS_PER_MS, PromptLoad
from ebonylb.fleet import ListedServer, ServerStage
from ebonylb.platform.batch_wire import decode_prompt_tokens
from ebonylb_standins.bench import long_prompts
from ebonylb_standins.bench.long_prompts import Trial, run_trial, use_variant
from ebonylb_standins.bench.trial import quantile
from ebonylb_standins.histories.virtual_time import run_virtual
from ebonylb_standins.site.manual_clock import ManualClock
from ebonylb_standins.site.world import World

GAP_MS = 33.0
# Target latency of the streaming routes of the stand-in site.
SHORT_TARGET_MS = 400.0
LATER = 1.1
TO_LAST_EVENT = "long, to the last event"
LONG, SHORT = 64_000, 2_000


def engine(name, started_ms=1):
    return ListedServer(
        name, "lm", "10.0.0.1:80", "north", ServerStage.READY, 16, started_ms=started_ms
    )


def prompt(tokens, due_ms=7_500.0, events=20.0):
    return ItemRequirements("lm", "m", due_ms, events, prompt_tokens=tokens)


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def load(clock):
    return PromptLoad(clock)


class TestPatterns:
    """Each pattern is played with and without the prompt load, from the same seed."""

    @pytest.mark.parametrize(
        "pattern",
        [
            "one_long_prompt",
            "flood",
            "one_domain",
            "flipping_mix",
            "shared_prompts",
            "lost_engine",
        ],
    )
    def test_short_prompts_are_on_time_and_long_ones_not_late(self, pattern):
        """Guards against long prompts that delay short ones, or wait for them."""
        play = long_prompts.PATTERNS[pattern]
        trial = run_trial(play, Trial(5, duration_ms=9_000))
        baseline = run_trial(play, Trial(5, use_variant("baseline"), 9_000))
        delays, before = trial.delays_ms(), baseline.delays_ms()
        short, short_before = delays.pop("short"), before.pop("short")
        assert quantile(short, 0.99) < SHORT_TARGET_MS
        assert quantile(short, 0.99) <= quantile(short_before, 0.99)
        last, last_before = delays.pop(TO_LAST_EVENT), before.pop(TO_LAST_EVENT)
        assert max(last) < float("inf")
        assert quantile(last, 0.5) <= LATER * quantile(last_before, 0.5)
        assert sum(last) <= LATER * sum(last_before)
        first, first_before = map(sum, delays.values()), map(sum, before.values())
        assert sum(first) <= LATER * sum(first_before)
        assert trial.idle_waits == 0

    def test_short_prompts_only_are_placed_as_without_the_prompt_load(self):
        """Guards against any effect on deployments without long prompts."""

        def placements(prepare):
            trial = run_trial(long_prompts.no_long_prompts, Trial(5, prepare, 9_000))
            servers = trial.world.port.servers.items()
            return {name: server.started_request_ids for name, server in servers}

        assert placements(use_variant("chosen")) == placements(use_variant("baseline"))


class TestPlacement:
    def test_a_long_prompt_waits_for_the_one_before_it(self):
        """Pattern: a flood on one engine. A short prompt waits for one of them only."""

        async def scenario():
            world = World(engines=1)
            placement = world.start("a").placement
            first = placement.enqueue(prompt(LONG))
            second = placement.enqueue(prompt(LONG))
            short = placement.enqueue(prompt(SHORT))
            assert first.granted_server.done() and short.granted_server.done()
            await world.clock.sleep_ms(60)
            assert not second.granted_server.done()
            await world.clock.sleep_ms(80)  # most of the first one is processed
            assert second.granted_server.done()

        run_virtual(scenario())

    def test_the_end_of_a_run_makes_room(self):
        """Pattern: a server lost while it holds the long ones."""

        async def scenario():
            world = World(engines=1)
            placement = world.start("a").placement
            need = prompt(LONG)
            server = await placement.acquire(need)
            waiting = placement.enqueue(prompt(LONG))
            placement.release(server, need)
            assert waiting.granted_server.done()

        run_virtual(scenario())

    def test_a_long_prompt_avoids_engines_where_short_ones_wait(self):
        """Pattern: one long prompt among short ones."""

        async def scenario():
            world = World(engines=3)
            placement = world.start("a").placement
            used = {(await placement.acquire(prompt(SHORT))).name for _ in range(2)}
            assert (await placement.acquire(prompt(LONG))).name not in used

        run_virtual(scenario())

    def test_a_group_goes_where_its_prompt_is_cached(self):
        """Pattern: long shared parts. Seven of eight prompts need no prefill."""

        async def scenario():
            world = World(engines=3)
            placement = world.start("a").placement
            names = set()
            for _ in range(8):
                need = prompt(LONG)
                need.group = "g"
                names.add((await placement.acquire(need)).name)
            assert len(names) == 1

        run_virtual(scenario())


class TestPendingPrompts:
    def test_pending_time_falls_with_time_and_ends_with_the_first_event(
        self, load, clock
    ):
        need = prompt(LONG)
        load.begin(engine("e"), need, False, GAP_MS)
        full_ms = LONG / DEFAULT_TOKENS_PER_MS
        assert load.pending_ms(engine("e"), GAP_MS) == pytest.approx(full_ms)
        clock.now_ms += 100
        assert load.pending_ms(engine("e"), GAP_MS) == pytest.approx(full_ms - 100)
        load.record_first_event(need)
        assert load.pending_ms(engine("e"), GAP_MS) == 0
        assert not load.is_prefilling(engine("e"))
        load.end(need)  # the run ends later
        assert not load.long_counts["lm"]

    def test_an_overdue_engine_gets_no_other_long_prompt(self, load, clock):
        """Guards against more long prompts for an engine that is slow or lost."""
        load.begin(engine("e"), prompt(LONG), False, GAP_MS)
        clock.now_ms += 1_000
        assert not load.admits(engine("e"), prompt(LONG), False, GAP_MS)
        assert load.admits(engine("e"), prompt(SHORT), False, GAP_MS)

    def test_a_restarted_engine_has_no_pending_prompts(self, load):
        load.begin(engine("e"), prompt(LONG), False, GAP_MS)
        assert load.admits(engine("e", started_ms=2), prompt(LONG), False, GAP_MS)

    def test_a_cached_prompt_takes_no_time(self, load):
        load.begin(engine("e"), prompt(LONG), True, GAP_MS)
        assert load.pending_ms(engine("e"), GAP_MS) == 0

    def test_an_overdue_item_goes_where_short_prompts_wait(self, load):
        """Guards against an item that has no slack left and avoids a free engine."""
        load.begin(engine("e"), prompt(SHORT), False, GAP_MS)
        in_time = load.extra_cost(engine("e"), prompt(LONG), False, GAP_MS)
        overdue = prompt(LONG, due_ms=0)
        late = load.extra_cost(engine("e"), overdue, False, GAP_MS)
        assert late < 2 < in_time

    def test_short_prompts_alone_have_no_cost(self, load):
        for _ in range(100):
            load.begin(engine("e"), prompt(SHORT), False, GAP_MS)
        assert load.extra_cost(engine("e"), prompt(SHORT), False, GAP_MS) == 0
        assert load.retry_ms(50.0) == 50.0


class TestRate:
    def observe(self, load, clock, rate, tokens=LONG):
        need = prompt(tokens)
        load.begin(engine("e"), need, False, GAP_MS)
        clock.now_ms += tokens / rate + GAP_MS
        load.record_first_event(need)

    def test_rate_follows_long_prompts(self, load, clock):
        self.observe(load, clock, 900)
        assert load.tokens_per_ms(engine("e")) == pytest.approx(900)
        assert not load.is_long(engine("e"), 16_000, GAP_MS)

    def test_disturbances_do_not_move_the_rate(self, load, clock):
        """Guards against a neighbour that slows the engine down for a while."""
        for rate in (900,) * 6 + (360,) * 4:
            self.observe(load, clock, rate)
        assert load.tokens_per_ms(engine("e")) == pytest.approx(900)

    def test_short_prompts_show_no_rate(self, load, clock):
        """Guards against the round trip of a short prompt taken for its prefill."""
        self.observe(load, clock, 20, tokens=SHORT)
        assert load.tokens_per_ms(engine("e")) == DEFAULT_TOKENS_PER_MS

    def test_prompts_that_overlap_show_only_an_upper_bound(self, load, clock):
        """Guards against a wait for another prompt that is taken for a low rate."""
        first, second = prompt(LONG), prompt(LONG)
        load.begin(engine("e"), first, False, GAP_MS)
        load.begin(engine("e"), second, False, GAP_MS)
        clock.now_ms += LONG / 900 + GAP_MS
        load.record_first_event(first)
        clock.now_ms += LONG / 900
        load.record_first_event(second)
        assert load.tokens_per_ms(engine("e")) == DEFAULT_TOKENS_PER_MS


class TestPromptLength:
    @pytest.mark.parametrize(
        ("usage", "prefix", "tokens"),
        [
            ("64000,2048", None, 64_000),
            (" 640 , 20", "a:16000", 640),
            (None, "system:1200,tools:15000", 16_200),
            (None, "a:b:7,broken", 7),
            ("x,1", None, 0),
            ("-5,1", "", 0),
            (None, None, 0),
        ],
    )
    def test_length_is_decoded_from_headers(self, usage, prefix, tokens):
        assert decode_prompt_tokens(usage, prefix) == tokens

    def test_rows_are_readable_by_older_and_newer_builds(self):
        """Guards a rolling update, in which both builds read each other's rows."""

        class OlderItem(msgspec.Struct, frozen=True, array_like=True):
            item_id: str
            target: str
            headers: tuple[tuple[str, str], ...]
            body: bytes
            model: str = ""
            group: str = ""
            tokens: int = 0
            length_hint: int = 0
            scoring: None = None

        older = OlderItem("i", "/", (), b"", "m", "g", 9, 4)
        newer = BatchItem("i", "/", (), b"", "m", "g", 9, 4, None, 5)
        old_row, new_row = rows.encoder.encode([older]), rows.encoder.encode([newer])
        (raw,) = rows.raw_items_decoder.decode(old_row)
        decoded = rows.item_decoder.decode(raw)
        assert (decoded.length_hint, decoded.prompt_tokens) == (4, 0)
        assert msgspec.msgpack.decode(new_row, type=list[OlderItem]) == [older]
