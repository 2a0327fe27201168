"""Callers of streams that take them up at other entry VMs, and their sites."""

import random
import re

from ebonylb.forwarding import CallerRequest
from ebonylb.outcomes import StepError

from .servers import PlannedResponse
from .world import PLAIN_SERVICE, World

EVENTS = 30
SEED = 1


def versions_of(lines):
    """Return the software versions that made the given event data."""
    versions = set()
    for line in lines:
        match = re.search(r"@(\S+)", line)
        versions.add(match[1] if match else "v1")
    return versions


def make_world(engine_versions=(), plain_versions=()):
    """Return a site with one server for each version.

    The choice among equal servers is drawn from a seed.
    """
    random.seed(SEED)
    world = World(len(engine_versions), len(plain_versions))
    names = [f"e{n}" for n in range(len(engine_versions))]
    names += [f"p{n}" for n in range(len(plain_versions))]
    for name, version in zip(names, [*engine_versions, *plain_versions], strict=True):
        world.port.servers[name].software_version = version
    return world


def replace_servers(world, names, successors, software_version):
    """Replace plain servers by others, which run another software version."""
    for name in successors:
        world.add_server(name, PLAIN_SERVICE, 6, "north")
        world.port.servers[name].software_version = software_version
    for name in names:
        world.port.servers[name].mode = "absent"
        world.unlisted.add(name)
    for vm in world.vms.values():
        if not vm.is_stopped:
            vm.refresh()


class Caller:
    """Caller that reads one stream and takes it up at other entry VMs.

    Parameters
    ----------
    request_id : str
        Id of its first request.
    names_stream : bool
        Whether it names that request when it takes the stream up.
    """

    def __init__(self, world, request_id, names_stream=True):
        self.names_stream = names_stream
        self.world = world
        self.request_id = request_id
        self.tries = 0
        self.events = []
        world.port.planned_responses[request_id] = PlannedResponse(EVENTS)

    async def read(self, vm, max_events=EVENTS, path="/chat/1"):
        """Read up to a number of events through an entry VM; return the response."""
        self.tries += 1
        request_id = (
            f"{self.request_id}-try{self.tries}" if self.events else (self.request_id)
        )
        self.world.port.planned_responses[request_id] = PlannedResponse(EVENTS)
        request = CallerRequest(
            request_id,
            "POST",
            "site",
            path,
            path,
            (("Host", "site"),),
            b"x",
            self.world.clock.monotonic_ms(),
            8_000.0,
            resume_after=len(self.events) or None,
            resumes=self.request_id if self.events and self.names_stream else "",
        )
        response = await vm.forwarder.serve(request, vm.forwarder.find_route(request))
        chunks = getattr(response, "chunks", None)
        if chunks is None:
            return response
        try:
            async for block in chunks:
                self.events.append(block.decode())
                if len(self.events) == max_events:
                    break
        except StepError:
            pass
        await chunks.aclose()
        return response
