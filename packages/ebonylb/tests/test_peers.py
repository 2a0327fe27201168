import asyncio
from contextlib import suppress

import pytest
import zmq

from ebonylb.outcomes import StepError
from ebonylb.peers import CurveKeys, PeerBus
from ebonylb.peers.link import PeerLink
from ebonylb.peers.messages import (
    AnswerChunk,
    AnswerEnd,
    ConfigurationUpdate,
    FetchConfiguration,
    ForwardGenerate,
)

FORWARD = ForwardGenerate("r-1", "lime", "kiln-lm", 0, "p", 8, 0, "", 1_000)


async def start_pair(other_keys=None):
    keys = CurveKeys(*zmq.curve_keypair())
    first = PeerBus("a", "127.0.0.1:0", keys)
    second = PeerBus("b", "127.0.0.1:0", other_keys or keys)
    await first.start()
    await second.start()
    first.connect("b", second.address)
    return first, second


class TestPeerBus:
    def test_request_gets_its_own_reply(self):
        """Guards against replies mixed up between concurrent requests."""

        async def scenario():
            first, second = await start_pair()

            async def handle(message):
                await asyncio.sleep(0.001 * (5 - int(message.prompt)))
                return AnswerEnd(int(message.prompt))

            second.on(ForwardGenerate, handle)
            requests = [
                ForwardGenerate(f"r-{i}", "p", "s", 0, str(i), 1, 0, "", 1)
                for i in range(5)
            ]
            replies = await asyncio.gather(*(first.request("b", r) for r in requests))
            await first.close()
            await second.close()
            return [reply.tokens for reply in replies]

        assert asyncio.run(scenario()) == [0, 1, 2, 3, 4]

    def test_closing_a_stream_cancels_the_handler(self):
        """Guards against work that continues for a caller that disconnected."""

        async def scenario():
            first, second = await start_pair()
            cancelled = asyncio.Event()

            async def produce(message):
                try:
                    yield AnswerChunk("x", 1, 1, "s")
                    await asyncio.Event().wait()
                finally:
                    cancelled.set()

            second.on(ForwardGenerate, produce)
            stream = first.stream("b", FORWARD, 5_000)
            await anext(stream)
            await stream.aclose()
            await asyncio.wait_for(cancelled.wait(), 5)
            await first.close()
            await second.close()

        asyncio.run(scenario())

    def test_lost_connection_fails_waiting_requests(self):
        """Guards against a request hanging until its timeout after a crash."""

        async def scenario():
            first, second = await start_pair()

            async def never(message):
                await asyncio.Event().wait()

            second.on(FetchConfiguration, never)
            request = asyncio.create_task(
                first.request("b", FetchConfiguration(), 60_000)
            )
            await asyncio.sleep(0.2)
            await second.close()
            with pytest.raises(StepError, match="connection broke"):
                await asyncio.wait_for(request, 5)
            await first.close()

        asyncio.run(scenario())

    def test_work_is_not_queued_for_a_broken_connection(self):
        """Guards against work that waits until its deadline for a dead peer."""

        async def scenario():
            first, second = await start_pair()

            async def never(message):
                await asyncio.Event().wait()

            second.on(FetchConfiguration, never)
            waiting = asyncio.create_task(
                first.request("b", FetchConfiguration(), 60_000)
            )
            await asyncio.sleep(0.2)
            await second.close()
            with pytest.raises(StepError, match="connection broke"):
                await asyncio.wait_for(waiting, 5)
            with pytest.raises(StepError, match="no open connection") as raised:
                await asyncio.wait_for(first.request("b", FORWARD, 60_000), 5)
            await first.close()
            return raised.value.may_have_run

        assert asyncio.run(scenario()) is False

    def test_client_with_another_key_is_not_admitted(self):
        """Guards against a process without the site's keys reaching handlers."""

        async def scenario():
            first, second = await start_pair(CurveKeys(*zmq.curve_keypair()))
            called = []

            async def handle(message):
                called.append(message)
                return ConfigurationUpdate(1)

            second.on(FetchConfiguration, handle)
            with pytest.raises(StepError):
                await first.request("b", FetchConfiguration(), 500)
            await first.close()
            await second.close()
            return called

        assert asyncio.run(scenario()) == []

    def test_cancellation_that_coincides_with_a_reply_is_kept(self):
        """Guards against a cancelled operation that continues and never ends.

        asyncio.wait_for in Python 3.11 lost the cancellation if the reply arrived in
        the same iteration of the event loop.
        """

        async def scenario():
            link = PeerLink.__new__(PeerLink)
            link.peer = "b"
            queue = asyncio.Queue()

            async def operation():
                await link.next_item(queue, 60_000)
                await asyncio.Event().wait()

            task = asyncio.create_task(operation())
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            queue.put_nowait((b"i", AnswerEnd(1)))
            await asyncio.sleep(0)
            task.cancel()
            done, _ = await asyncio.wait([task], timeout=5)
            assert done

        asyncio.run(scenario())

    def test_unreachable_peer_received_nothing(self):
        """Guards against a queued request that runs after it failed as not sent."""

        async def scenario():
            first, second = await start_pair()
            received = []

            async def handle(message):
                received.append(message)
                return ConfigurationUpdate(1)

            address = second.address
            second.on(FetchConfiguration, handle)
            await first.request("b", FetchConfiguration(), 500)
            received.clear()
            await second.close()
            async with asyncio.timeout(5):
                while first.links["b"].connected.is_set():  # noqa: ASYNC110
                    await asyncio.sleep(0.005)
            with pytest.raises(StepError) as raised:
                await first.request("b", FORWARD, 5_000)
            again = PeerBus("b", address, first.keys)
            again.on(ForwardGenerate, handle)
            again.on(FetchConfiguration, handle)
            await again.start()
            while not received:
                with suppress(StepError):
                    await first.request("b", FetchConfiguration(), 500)
            await first.close()
            await again.close()
            return raised.value.may_have_run, received

        may_have_run, received = asyncio.run(asyncio.wait_for(scenario(), 20))
        assert not may_have_run
        assert not any(isinstance(message, ForwardGenerate) for message in received)
