"""Tests of leases: rows as older builds know them, takeover and fencing."""

import msgspec
import pytest

from ebonylb.leases import LeaseTable, make_subject
from ebonylb.leases.table import CLOCK_SLACK_MS, SEND_WINDOW_MS, row_key
from ebonylb.orders.leases import group_of
from ebonylb_standins.histories.virtual_time import LoopClock, run_virtual
from ebonylb_standins.site.row_store import MemoryRowStore, StoreData

LEASE_MS = 3_000.0
TERM_MS = LEASE_MS + SEND_WINDOW_MS + CLOCK_SLACK_MS


def make_table(data, name, incarnation="1"):
    clock = LoopClock()
    store = MemoryRowStore(data, clock)
    return LeaseTable(store, clock, name, f"{name}-{incarnation}", LEASE_MS)


def show_rows(data, *tables):
    for table in tables:
        table.change_rows(list(data.rows.values()))


class TestRows:
    def test_rows_are_those_of_older_builds(self):
        """Guards against two builds that do not see each other's leases."""

        async def scenario():
            data = StoreData()
            await make_table(data, "a").request_permit(group_of("e0"))
            ((key, row),) = data.rows.items()
            assert (key.table, key.part, key.key) == ("orders", "", group_of("e0"))
            assert row.value == b'{"holder":"a","incarnation":"a-1","fence":1}'

        run_virtual(scenario())

    @pytest.mark.parametrize("service", ["lm", "s" * 400, "ä" * 150])
    def test_keys_fit_into_the_store(self, service):
        """Guards against a duty whose lease the store refuses for its long key."""
        subject = make_subject("scale", service, "north")
        assert len(row_key(subject).key.encode()) < 200
        assert subject != make_subject("scale", service, "south")


class TestTakeover:
    def test_the_fence_grows_with_holder_and_incarnation(self):
        async def scenario():
            data = StoreData()
            first, second = make_table(data, "a"), make_table(data, "b")
            restarted = make_table(data, "a", "2")
            assert (await first.request_permit("usage")).fence == 1
            assert (await first.request_permit("usage")).fence == 1
            show_rows(data, second, restarted)
            assert (await restarted.request_permit("usage")).fence == 2
            show_rows(data, second)
            assert await second.request_permit("usage") is None
            await second.clock.sleep_ms(TERM_MS)
            assert (await second.request_permit("usage")).fence == 3

        run_virtual(scenario())

    def test_of_two_that_race_one_gets_a_permit(self):
        """Guards against two holders of one subject, whose rows neither has seen."""

        async def scenario():
            data = StoreData()
            permits = [
                await make_table(data, name).request_permit("usage") for name in "ab"
            ]
            assert [permit is None for permit in permits] == [False, True]

        run_virtual(scenario())

    def test_subjects_are_independent(self):
        async def scenario():
            data = StoreData()
            first, second = make_table(data, "a"), make_table(data, "b")
            await first.request_permit("usage")
            show_rows(data, second)
            assert await second.request_permit("scale/lm/north") is not None
            lease = msgspec.json.decode(data.rows[row_key("scale/lm/north")].value)
            assert lease["holder"] == "b"

        run_virtual(scenario())
