"""Cluster on a background event loop, for tests that are not coroutines."""

import asyncio
import threading
from collections.abc import Coroutine
from typing import Any

from .cluster import Cluster

START_TIMEOUT_S = 40
CLOSE_TIMEOUT_S = 20


class BackgroundCluster:
    """Runs a cluster on an event loop in another thread.

    Parameters
    ----------
    cluster : Cluster
        Cluster that `start` starts and `close` ends.
    """

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)

    def start(self) -> None:
        """Start the thread and the cluster."""
        self.thread.start()
        try:
            self.run(self.cluster.__aenter__(), START_TIMEOUT_S)
        except BaseException:
            self.stop_thread()
            raise

    def run(self, coroutine: Coroutine[Any, Any, Any], timeout_s: float = 30.0) -> Any:
        """Run a coroutine on the cluster's event loop and return its result."""
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(timeout_s)

    def close(self) -> None:
        """End all processes and stop the thread."""
        try:
            self.run(self.cluster.__aexit__(None, None, None), CLOSE_TIMEOUT_S)
        finally:
            self.stop_thread()

    def stop_thread(self) -> None:
        """Stop the event loop and wait for the thread."""
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        self.loop.close()
