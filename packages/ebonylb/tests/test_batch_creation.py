"""Tests of the submission of batches that take several transactions."""

import asyncio
import random
from dataclasses import replace

import msgspec
import pytest

from ebonylb.batches.rows import ITEMS_TABLE
from ebonylb.customers import BatchAccess
from ebonylb_standins.histories.virtual_time import run_virtual
from ebonylb_standins.site.world import World

ITEMS, ITEM_BYTES = 20, 100_000


def make_batch(world, customer):
    """Return a batch of 2 MB, which is stored in four transactions."""
    batch = world.batch("b", [2] * ITEMS, customer=customer)
    rng = random.Random(customer)
    items = [
        msgspec.structs.replace(i, body=rng.randbytes(ITEM_BYTES)) for i in batch.items
    ]
    return replace(batch, items=tuple(items))


async def submit(vm, batch):
    """Submit a batch with a key of its customer; return the reason of a refusal."""
    refusal = await vm.batches.submit(batch, BatchAccess(batch.header.customer))
    return refusal and refusal.reason


async def stored_batch(vm):
    """Return the customer and the items of the stored batch."""
    progress = (await vm.batches.repository.progress("b")).ok_value
    items = (await vm.batches.repository.items("b")).ok_value
    return progress.progress.header.customer, items


def start(world):
    return world.start("a"), world.start("c", "south")


class TestLargeBatches:
    def test_a_stored_batch_keeps_its_items(self):
        """Guards against items overwritten through an entry VM that lacks the row.

        The second submission is that of another customer, right after the first.
        """

        async def scenario():
            world = World()
            first, second = start(world)
            batch = make_batch(world, "acme")
            assert await submit(first, batch) is None
            assert await submit(second, make_batch(world, "bolt")) == "no_batch"
            assert await stored_batch(second) == ("acme", batch.items)

        run_virtual(scenario())

    @pytest.mark.parametrize("delay_ms", [0, 3, 6, 9, 12, 15])
    def test_the_items_of_one_submission_are_stored_together(self, delay_ms):
        """Guards against parts of two submissions that are under way at once."""

        async def scenario():
            world = World()
            first, second = start(world)
            batches = {name: make_batch(world, name) for name in ("acme", "bolt")}

            async def submit_later():
                await world.clock.sleep_ms(delay_ms)
                return await submit(second, batches["bolt"])

            refusals = await asyncio.gather(
                submit(first, batches["acme"]), submit_later()
            )
            customer, items = await stored_batch(first)
            assert items == batches[customer].items
            assert refusals.count(None) == 1
            assert refusals.index(None) == list(batches).index(customer)

        run_virtual(scenario())

    @pytest.mark.parametrize("lost", [1, 2, 3, 4])
    def test_a_repeated_submission_is_accepted(self, lost):
        """Guards against a batch that its own earlier parts keep from being stored.

        The answer to one transaction is lost, and with it that of the entry VM. The
        same write is sent a second time by the network, while the caller repeats the
        submission elsewhere.
        """

        async def scenario():
            world = World()
            first, second = start(world)
            batch = make_batch(world, "acme")
            transact = first.store.transact
            sent = []

            async def lose_one(conditions, puts):
                outcome = await transact(conditions, puts)
                if puts[0].row_key.table == ITEMS_TABLE:
                    sent.append(puts)
                    if len(sent) == lost:
                        late = first.store.apply_late(3.0, conditions, puts)
                        first.store.tasks.add(asyncio.create_task(late))
                        return first.store.call_error(True)
                return outcome

            first.store.transact = lose_one
            refusal = await submit(first, batch)
            assert refusal is None if lost == 4 else refusal == "store_unclear"
            assert await submit(second, batch) is None
            assert await submit(first, batch) is None
            assert await stored_batch(second) == ("acme", batch.items)

        run_virtual(scenario())
