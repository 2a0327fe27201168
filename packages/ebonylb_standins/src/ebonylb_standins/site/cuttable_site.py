"""Site whose entry VMs can be cut off from all backend servers, one by one."""

import contextlib
import random
import socket

from .cut_path import PathState
from .http_site import EntryVmProcess, HttpSite
from .proxy import FaultProxy


class CuttableProxy(FaultProxy):
    """Path of one entry VM to one backend server.

    Attributes
    ----------
    blocked : contextlib.ExitStack
        Sockets that keep new connections waiting while the path is cut.
    """

    def __init__(self, target: str, rng: random.Random) -> None:
        super().__init__(target, rng)
        self.blocked = contextlib.ExitStack()

    async def cut(self, state: PathState) -> None:
        """Cut the path: what becomes of open connections, and of new ones."""
        self.server.close()
        if state is PathState.RESET:
            self.reset_connections(1.0)
        if state is PathState.HANG:
            self.faults.silent_upstream = self.faults.silent_downstream = True
        reserved = self.reserve_port()
        if state is not PathState.REFUSE:
            self.hang_new_connections(reserved)

    def reserve_port(self) -> socket.socket:
        """Keep the port, which another process could get otherwise, without listening.

        The kernel refuses connections to a bound port that nobody listens on.
        """
        host, port = self.address.rsplit(":", 1)
        reserved = self.blocked.enter_context(socket.socket())
        reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reserved.bind((host, int(port)))
        return reserved

    def hang_new_connections(self, reserved: socket.socket) -> None:
        """Listen with a full queue, so that the kernel drops further connections."""
        reserved.listen(0)
        self.blocked.enter_context(socket.create_connection(reserved.getsockname()))

    async def heal(self) -> None:
        """Accept connections again; silent ones have lost bytes and are reset."""
        self.blocked.close()
        if self.faults.silent_upstream:
            self.reset_connections(1.0)
        self.faults = type(self.faults)()
        await self.listen()

    def close(self) -> None:
        """Stop listening and reset all connections."""
        self.blocked.close()
        super().close()


class CuttableSite(HttpSite):
    """Site with a proxy on the path of each entry VM to each backend server.

    Each entry VM sees the servers at addresses of its own, in its view of the store.

    Attributes
    ----------
    paths : dict of str to dict of str to CuttableProxy
        Path to each server by its name, by the name of the entry VM.
    cut_states : dict of str to PathState
        Entry VMs that are cut off, and how.
    """

    paths: dict[str, dict[str, CuttableProxy]]
    cut_states: dict[str, PathState]
    random: random.Random

    async def add_server(self, server, zone: str) -> None:
        """Start a backend server, and paths of all entry VMs to it."""
        await super().add_server(server, zone)
        for name in self.paths:
            await self.add_path(name, server.name)
        # Entry VMs read the row again, now with the addresses of their own.
        self.register(server, zone)

    async def add_entry_vm(self, name: str, zone: str) -> EntryVmProcess:
        """Start an entry VM, and its paths to all servers."""
        self.paths[name] = {}
        for server in self.servers:
            await self.add_path(name, server)
        self.store_views[name] = await self.listen_for_store(name)
        return await super().add_entry_vm(name, zone)

    async def listen_for_store(self, name: str) -> str:
        """Serve an entry VM's view of the store and return its address."""
        view = self.store.build_app(lambda server: self.address_of(name, server))
        return await self.listen(view)

    async def start(self) -> None:
        """Start all parts of the site and wait until the entry VMs are ready."""
        self.paths, self.store_views, self.cut_states = {}, {}, {}
        self.random = getattr(self, "random", random.Random(self.seed))
        await super().start()

    async def add_path(self, entry_vm: str, server: str) -> None:
        """Add the path of an entry VM to a server."""
        path = CuttableProxy(self.server_addresses[server], self.random)
        await path.start()
        self.resources.callback(path.close)
        self.paths[entry_vm][server] = path
        if entry_vm in self.cut_states:
            await path.cut(self.cut_states[entry_vm])

    def address_of(self, entry_vm: str, server: str) -> str | None:
        """Return the address at which an entry VM reaches a server, if it is known."""
        path = self.paths[entry_vm].get(server)
        return path.address if path is not None else None

    def store_address_for(self, name: str) -> str:
        """Return the address of the entry VM's view of the store."""
        return self.store_views[name]

    async def cut_off(self, entry_vm: str, state: PathState) -> None:
        """Cut an entry VM off from all servers, also from those that are added."""
        self.cut_states[entry_vm] = state
        for path in list(self.paths[entry_vm].values()):
            await path.cut(state)

    async def reconnect(self, entry_vm: str) -> None:
        """Let an entry VM reach the servers again."""
        del self.cut_states[entry_vm]
        for path in list(self.paths[entry_vm].values()):
            await path.heal()
