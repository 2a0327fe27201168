"""Cluster that runs a site on loopback, with one process per machine."""

import asyncio
import json
import secrets
import shutil
import signal
import tempfile
from collections.abc import Callable
from contextlib import AsyncExitStack
from pathlib import Path
from types import TracebackType

import aiohttp
import zmq

from .processes import ManagedProcess, PortLease
from .records import RunEvent, read_run_events
from .topology import EntryVmSpec, ServerSpec, Topology
from .waiting import until

REQUEST_TIMEOUT_S = 5
READY_TIMEOUT_MS = 20_000
SEED_PEER_COUNT = 3  # peers in the settings file of each entry VM
OPERATOR_NAME = "operator"


class Cluster:
    """Platform, backend servers and entry VMs of a topology as processes.

    This is an async context manager; all processes have ended when it exits. It
    communicates with the platform, the backend servers and the entry VMs over HTTP
    only.

    Parameters
    ----------
    topology : Topology
        Site to start.
    sheet : str
        Sheet to apply through an entry VM at the start. If empty, entry VMs that find
        no configuration serve nothing.
    engine_options, plain_options : dict
        Command line options of the stand-ins by field name, such as
        ``{"token_ms": 1.0}``.
    settings : dict
        Top-level keys that replace the defaults in the entry VMs' settings files,
        such as ``{"timing": {"heartbeat_ms": 100}}``.
    with_entry_vms : bool
        Whether to start the entry VMs.
    entry_command : tuple of str
        Module and subcommand that start an entry VM; ``--settings FILE`` is appended.
    """

    def __init__(
        self,
        topology: Topology,
        sheet: str = "",
        engine_options: dict[str, object] | None = None,
        plain_options: dict[str, object] | None = None,
        settings: dict[str, object] | None = None,
        with_entry_vms: bool = True,
        entry_command: tuple[str, ...] = ("ebonylb", "serve"),
    ) -> None:
        self.topology = topology
        self.sheet = sheet
        self.engine_options = engine_options or {}
        self.plain_options = plain_options or {}
        self.settings = settings or {}
        self.with_entry_vms = with_entry_vms
        self.entry_command = entry_command
        self.stack = AsyncExitStack()
        self.processes: dict[str, ManagedProcess] = {}
        self.addresses: dict[str, str] = {}
        self.peer_addresses: dict[str, str] = {}
        self.operator_token = secrets.token_hex(16)
        self.party_tokens = {name: secrets.token_hex(16) for name in topology.parties}
        public, secret = zmq.curve_keypair()
        self.curve = {"public": public.decode(), "secret": secret.decode()}
        self.key_secret = secrets.token_hex(16)

    async def __aenter__(self) -> "Cluster":
        """Start all processes and wait until they are ready."""
        try:
            await self.start()
        except BaseException:
            await self.stack.aclose()
            raise
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Kill all processes and remove the temporary folder."""
        await self.stack.aclose()

    async def start(self) -> None:
        """Start the platform, the backend servers and then the entry VMs."""
        self.folder = Path(tempfile.mkdtemp(prefix="ebonylb-"))
        self.stack.callback(shutil.rmtree, self.folder, ignore_errors=True)
        self.http = await self.stack.enter_async_context(
            aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0),
                timeout=aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S),
            )
        )
        self.addresses["platform"] = self.lease_address()
        options = {"address": self.addresses["platform"]}
        self.add_process("platform", ["ebonylb_standins.platform"], options)
        await self.start_stand_in("platform")
        service = self.topology.engine_service
        await self.publish_weights(service, 1, 100_000)
        backends = (*self.topology.engines, *self.topology.plain_services)
        for spec in backends:
            self.add_backend(spec)
        await asyncio.gather(*(self.start_stand_in(spec.name) for spec in backends))
        if self.with_entry_vms:
            await self.start_entry_vms()

    def lease_address(self) -> str:
        """Reserve a loopback address until the cluster is closed and return it."""
        lease = PortLease()
        self.stack.callback(lease.close)
        return lease.address

    def add_process(
        self, name: str, command: list[str], options: dict[str, object]
    ) -> None:
        """Add a process, which is not started but is killed when the cluster closes."""
        arguments = list(command)
        for key, value in options.items():
            arguments += ["--" + key.replace("_", "-"), str(value)]
        process = ManagedProcess(name, arguments, self.folder)
        self.processes[name] = process
        self.stack.callback(process.destroy)

    def add_backend(self, spec: ServerSpec) -> None:
        """Add the process of a backend server."""
        self.addresses[spec.name] = self.lease_address()
        options = {
            "name": spec.name,
            "address": self.addresses[spec.name],
            "record_file": self.record_file(spec.name),
        }
        if spec in self.topology.engines:
            options["service"] = spec.service
            options["failure_domain"] = spec.failure_domain
            options["weights_url"] = self.url("platform") + "/weights"
            command = ["ebonylb_standins.engine"]
            self.add_process(spec.name, command, options | self.engine_options)
        else:
            command = ["ebonylb_standins.plain_service"]
            self.add_process(spec.name, command, options | self.plain_options)

    async def start_stand_in(self, name: str) -> None:
        """Start a stand-in, wait until it is ready and add it to the VM list."""
        process = self.processes[name]
        process.start()
        await process.wait_until_ready()
        if name != "platform":
            await self.register_vm(name, "live")

    async def start_entry_vms(self) -> None:
        """Start all entry VMs, apply the sheet and wait until they are ready.

        Without a sheet, wait only until they are healthy.
        """
        for spec in self.topology.entry_vms:
            self.addresses[spec.name] = self.lease_address()
            self.peer_addresses[spec.name] = self.lease_address()
        for spec in self.topology.entry_vms:
            path = self.folder / f"{spec.name}.jsonc"
            path.write_text(self.settings_text(spec))
            self.add_process(spec.name, list(self.entry_command), {"settings": path})
        names = [spec.name for spec in self.topology.entry_vms]
        for name in names:
            self.processes[name].start()
            await self.register_vm(name, "live")
        await asyncio.gather(*(self.wait_until_ok(name, "/healthz") for name in names))
        if self.sheet:
            await self.apply_sheet(self.sheet, None)
            await asyncio.gather(
                *(self.wait_until_ok(name, "/readyz") for name in names)
            )

    def settings_text(self, spec: EntryVmSpec) -> str:
        """Return the content of an entry VM's settings file."""
        platform = self.url("platform")
        other_names = [name for name in self.peer_addresses if name != spec.name]
        settings = {
            "name": spec.name,
            "failure_domain": spec.failure_domain,
            "region": self.topology.regions[spec.failure_domain],
            "http_address": self.addresses[spec.name],
            "peer_address": self.peer_addresses[spec.name],
            "peers": [
                {"name": name, "address": self.peer_addresses[name]}
                for name in other_names[:SEED_PEER_COUNT]
            ],
            "platform": {
                part: f"{platform}/{part}"
                for part in ("tables", "objects", "weights", "vms")
            },
            "curve": self.curve,
            "key_secret": self.key_secret,
            "tokens": {
                "operators": {OPERATOR_NAME: self.operator_token},
                "parties": self.party_tokens,
            },
            "allow_fault_injection": True,
            "policy": {"profile": self.topology.profile},
            **self.settings,
        }
        return f"// Entry VM of one run.\n{json.dumps(settings, indent=2)}\n"

    def url(self, name: str) -> str:
        """Return the base URL of a process."""
        return "http://" + self.addresses[name]

    @property
    def entry_urls(self) -> list[str]:
        """Return the base URLs of the running entry VMs, including frozen ones."""
        return [
            self.url(spec.name)
            for spec in self.topology.entry_vms
            if spec.name in self.processes and self.processes[spec.name].is_running
        ]

    async def send_request(
        self, name: str, method: str, path: str, body: object = None
    ) -> tuple[int, object]:
        """Send a request as an operator; return the status and the JSON body."""
        headers = {"Authorization": f"Bearer {self.operator_token}"}
        async with self.http.request(
            method, self.url(name) + path, json=body, headers=headers
        ) as response:
            return response.status, await response.json(content_type=None)

    async def wait_until_ok(self, name: str, path: str) -> None:
        """Wait until a GET of a path returns status 200."""

        async def responds() -> bool:
            try:
                async with self.http.get(self.url(name) + path) as response:
                    return response.status == 200
            except (aiohttp.ClientError, OSError):
                return False

        await self.processes[name].wait_for(responds, READY_TIMEOUT_MS, path)

    async def apply_sheet(
        self, sheet: str, base_revision: int | None, through: str = ""
    ) -> int:
        """Apply a sheet through an entry VM and return its revision.

        Raises
        ------
        RuntimeError
            The sheet was refused. The message includes the status and the body.
        """
        name = through or self.topology.entry_vms[0].name
        body = {"sheet": sheet, "base_revision": base_revision}
        status, response = await self.send_request(name, "POST", "/admin/apply", body)
        if status != 200:
            raise RuntimeError(
                f"apply through {name}: HTTP status {status}: {response}"
            )
        return response["revision"]

    async def status(self, through: str = "") -> dict:
        """Return the body of an entry VM's ``/admin/status``."""
        name = through or self.topology.entry_vms[0].name
        _, response = await self.send_request(name, "GET", "/admin/status")
        return response

    async def control(self, name: str, **settings: object) -> dict:
        """Change settings of a stand-in and return its state from ``/control``.

        Raises
        ------
        ValueError
            The stand-in has no such setting, or a value has the wrong type.
        """
        status, response = await self.send_request(name, "POST", "/control", settings)
        if status != 200:
            raise ValueError(f"{name}: {response}")
        return response

    async def counters(self, name: str) -> dict[str, int]:
        """Return the counters of a stand-in."""
        return (await self.control(name))["counters"]

    async def publish_weights(
        self, service: str, version: int, size_bytes: int
    ) -> None:
        """Publish a weight version in the weight store."""
        body = {"service": service, "version": version, "size_bytes": size_bytes}
        await self.send_request("platform", "POST", "/weights/publish", body)

    async def register_vm(self, name: str, state: str) -> None:
        """Add a machine to the VM list, or change its state there."""
        await self.send_request(
            "platform", "POST", "/vms", await self.vm_entry(name, state)
        )

    async def vm_entry(self, name: str, state: str) -> dict[str, str]:
        """Return a machine's entry in the VM list."""
        entry_incarnation = f"{name}.{self.processes[name].starts}"
        for spec in self.topology.entry_vms:
            if spec.name == name:
                kind, service, domain = "entry_vm", "", spec.failure_domain
                address, incarnation = self.peer_addresses[name], entry_incarnation
        for spec in (*self.topology.engines, *self.topology.plain_services):
            if spec.name == name:
                kind = "engine" if spec in self.topology.engines else "plain"
                service, domain = spec.service, spec.failure_domain
                address = self.addresses[name]
                _, shown = await self.send_request(name, "GET", "/control")
                incarnation = shown["incarnation"]
        return {
            "name": name,
            "kind": kind,
            "service": service,
            "address": address,
            "failure_domain": domain,
            "region": self.topology.regions[domain],
            "incarnation": incarnation,
            "state": state,
        }

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL."""
        self.processes[name].destroy()

    def freeze(self, name: str) -> None:
        """Pause a process with SIGSTOP; its connections stay open."""
        self.processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a frozen process."""
        self.processes[name].send_signal(signal.SIGCONT)

    def terminate(self, name: str) -> None:
        """Send SIGTERM to a process; see `wait_exit`."""
        self.processes[name].send_signal(signal.SIGTERM)

    async def wait_exit(self, name: str, timeout_ms: float = 30_000) -> int:
        """Wait until a process ends and return its exit code."""
        return await self.processes[name].wait_exit(timeout_ms)

    async def restart(self, name: str) -> None:
        """Start a process that has ended, as a new incarnation."""
        if name not in self.peer_addresses:
            await self.start_stand_in(name)
            return
        self.processes[name].start()
        await self.register_vm(name, "live")
        await self.wait_until_ok(name, "/healthz")

    async def cut_off_domains(self, *domains: str, silent: bool = False) -> None:
        """Cut failure domains off from the platform and from other domains' servers.

        A backend server in a domain that is cut off remains reachable only from its
        own domain. Connections between entry VMs are unaffected. A call without
        domains restores all connections.
        """
        await self.control("platform", cut=list(domains), cut_silent=silent)
        for spec in (*self.topology.engines, *self.topology.plain_services):
            is_inside = spec.failure_domain in domains
            unreachable = [
                domain
                for domain in self.topology.regions
                if domain != spec.failure_domain and (is_inside or domain in domains)
            ]
            await self.control(spec.name, cut=unreachable, cut_silent=silent)

    def record_file(self, name: str) -> Path:
        """Return the path of a backend server's run log."""
        return self.folder / f"{name}.runs"

    def run_events(self) -> list[RunEvent]:
        """Return the run events of all backend servers, including crashed ones."""
        backends = (*self.topology.engines, *self.topology.plain_services)
        return [
            run
            for spec in backends
            for run in read_run_events(self.record_file(spec.name))
        ]

    def runs(self) -> list[RunEvent]:
        """Return the starts of runs on all backend servers."""
        return [record for record in self.run_events() if record.kind == "run"]

    def log(self, name: str) -> str:
        """Return the standard error of a process."""
        return self.processes[name].log()

    async def until(
        self,
        condition: Callable[[], object],
        timeout_ms: float,
        description: str = "condition",
    ) -> object:
        """Poll a condition until it is true; see `waiting.until`."""
        return await until(condition, timeout_ms, description)
