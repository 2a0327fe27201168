import asyncio

from ebonylb.interfaces import GenerateRequest
from ebonylb_standins.batching import Batcher, Pacing, PrefixCache, Stream
from ebonylb_standins.tasks import end_task

PACING = Pacing(0.5, 0.0, 0.0, 1, 0.0, 1.0)


def stream_of(prompt):
    return Stream.from_request(GenerateRequest("r", prompt, "", 1_000, 0))


async def chunks_of(stream):
    chunks = []
    while (chunk := await stream.chunks.get()) is not None:
        chunks.append(chunk)
    return chunks


def run_with(batcher, scenario):
    async def run():
        task = asyncio.create_task(batcher.run())
        try:
            return await asyncio.wait_for(scenario(), 10)
        finally:
            await end_task(task)

    return asyncio.run(run())


class TestBatcher:
    def test_version_switches_in_the_middle_of_a_stream(self):
        """Guards against chunks labelled with a version that did not produce them."""
        batcher = Batcher(PACING, 4, 100, 1)

        async def scenario():
            stream = stream_of("len=40")
            batcher.submit(stream)
            first = await stream.chunks.get()
            await batcher.switch(2)
            return [first, *await chunks_of(stream)]

        versions = [chunk.version for chunk in run_with(batcher, scenario)]
        assert versions == sorted(versions)
        assert set(versions) == {1, 2}
        assert len(versions) == 40

    def test_runs_no_more_streams_than_slots_and_completes_all(self):
        """Guards against a batch larger than its slots, and against refused streams."""
        batcher = Batcher(PACING, 2, 100, 1)
        batch_sizes = []

        async def scenario():
            streams = [stream_of("len=5") for _ in range(6)]
            for stream in streams:
                batcher.submit(stream)
            for stream in streams:
                while await stream.chunks.get() is not None:
                    batch_sizes.append(len(batcher.running))

        run_with(batcher, scenario)
        assert max(batch_sizes) == 2


class TestPrefixCache:
    def test_shared_prefix_is_cached_within_bounds(self):
        """Guards against reuse of prefixes beyond the cache's capacity."""
        cache = PrefixCache(3)
        words = [f"w{n}" for n in range(32)]
        assert cache.admit(words) == 0
        assert cache.admit([*words, "more"]) == 32
        assert cache.admit(["other"] * 48) == 0
        assert cache.admit(words) == 0
