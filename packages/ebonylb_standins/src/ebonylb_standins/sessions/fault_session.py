"""Session of one night with faults at the site Abay Limeworks."""

from .script import Response, Script, sheet_text

CRASH_MARKER = "BRINE"


async def call_during_outage(script: Script, keys: list[str]) -> None:
    """Send requests while the platform is down and after it is back."""
    cluster = script.cluster
    await cluster.control("platform", down=True)
    sheet = sheet_text(script.topology, 2.0)
    await script.book_and_record("load-1", keys[1], "book with an issued key")
    await script.book_and_record(
        "load-1", keys[1], "send again elsewhere", script.running_entry_vms[1]
    )
    await script.book_and_record("load-2", "own-2", "book with a key of its own")
    await script.generate(script.desk, "in the dark", "ask for advice")
    await script.apply(sheet, 1, "apply a sheet")
    await cluster.control("platform", down=False)

    async def is_accepted() -> bool:
        return (await script.book("load-2", "own-2"))[0] == 200

    await cluster.until(is_accepted, 12_000, "own key accepted again")
    await script.book_and_record("load-2", "own-2", "after the outage, send again")


async def book_until_recorded(script: Script, key: str) -> None:
    """Book with an issued key and wait until the response is in the journal."""
    await script.book_and_record("load-0", key, "book with an issued key")

    async def is_recorded() -> bool:
        path = "/tables/rows?table=calls&prefix=&after=&limit=500"
        _, journal = await script.cluster.send_request("platform", "GET", path)
        return "answered" in str(journal["rows"])

    await script.cluster.until(is_recorded, 5_000, "journal")


async def kill_entry_vm(script: Script, name: str, keys: list[str]) -> None:
    """Kill and restart the entry VM that issued the keys, using keys meanwhile."""
    cluster, desk = script.cluster, script.desk
    cluster.kill(name)
    await cluster.send_request("platform", "DELETE", f"/vms/{name}")
    script.record(name, "killed", "no longer on the VM list")

    def is_final(response: Response) -> bool:
        return response[0] == 200 or response[1].get("retry_after_ms") is None

    await script.book_until("load-0", keys[0], "look up after the kill", is_final)
    await script.book_and_record("load-3", keys[2], "use a key of the killed")
    await script.generate(desk, "who is left", "ask for advice")
    await cluster.restart(name)
    await cluster.wait_until_ok(name, "/readyz")
    script.record(name, "started again", "ready")
    await script.book_until("load-3", keys[2], "use the key again", is_final)


async def send_crashing_request(script: Script) -> None:
    """Send a request that crashes each engine that runs it, then restart engines."""
    cluster, desk = script.cluster, script.desk
    prompt = f"{CRASH_MARKER} in the mix"
    await script.generate(desk, prompt, "ask what crashes engines")
    # Peers in the failure domain learn of a strike before the caller gets the final
    # response.
    for name in script.entry_vms_in(script.topology.entry_vms[0].failure_domain):
        await script.generate(desk, prompt, "ask it again elsewhere", name)
    engines = [spec.name for spec in script.topology.engines]
    crashed = [name for name in engines if not cluster.processes[name].is_running]
    crash_count = "at most 2" if len(crashed) <= 2 else f"{len(crashed)}"
    script.record("engines", "crashed", crash_count)
    for name in crashed:
        await cluster.restart(name)
    await script.generate(desk, "sane again", "ask for advice")


async def cut_failure_domain(script: Script) -> None:
    """Cut a failure domain off from its peers and the platform, then reconnect it."""
    cluster, topology = script.cluster, script.topology
    domain = topology.entry_vms[1].failure_domain
    inside = [vm.name for vm in topology.entry_vms if vm.failure_domain == domain]
    outside = [vm.name for vm in topology.entry_vms if vm.failure_domain != domain]
    for names, others in ((inside, outside), (outside, inside)):
        for name in names:
            await cluster.send_request(name, "POST", "/faults", {"cut_peers": others})
    await cluster.cut_off_domains(domain)
    for side, name in (("inside", inside[0]), ("outside", outside[0])):
        await script.generate(script.desk, f"from {side}", f"ask {side}", name)
    sheet = sheet_text(topology, 3.0)
    await script.apply(sheet, 1, "apply through the cut domain", inside[0])
    await cluster.cut_off_domains()
    for name in (*inside, *outside):
        await cluster.send_request(name, "POST", "/faults", {"cut_peers": []})
    script.record(domain, "connected again", "done")
    await script.apply(sheet, 1, "apply after the cut", inside[0])


async def apply_concurrently(script: Script) -> None:
    """Apply two different sheets based on the same revision at the same time."""
    names = script.running_entry_vms
    bodies = [
        {"sheet": sheet_text(script.topology, weight), "base_revision": 2}
        for weight in (5.0, 6.0)
    ]
    responses = await script.run_concurrently(
        *(
            script.send_as_operator(name, "POST", "/admin/apply", body)
            for name, body in zip(names, bodies, strict=False)
        )
    )
    for status, response in sorted(responses, key=lambda pair: pair[0]):
        script.record("operators", "race", script.describe_apply(status, response))
    await script.wait_in_force(3)


async def bad_night(script: Script) -> None:
    """Outage, kills, a crashing request, a cut domain, a race, and recovery."""
    script.record_heading("the day's sheet")
    await script.apply(sheet_text(script.topology), None, "apply the day's sheet")
    await script.wait_ready()
    issuer = script.running_entry_vms[-1]
    keys = await script.issue_keys(3, issuer)
    await book_until_recorded(script, keys[0])
    script.record_heading("the platform is down")
    await call_during_outage(script, keys)
    script.record_heading("an entry VM is killed")
    await kill_entry_vm(script, issuer, keys)
    script.record_heading("a request that crashes engines")
    await send_crashing_request(script)
    script.record_heading("a failure domain is cut off")
    await cut_failure_domain(script)
    script.record_heading("two operators at once")
    await apply_concurrently(script)
    script.record_heading("recovery")
    await script.run_step(script.topology.parties[0], "step in the morning")
    await script.book_and_record("load-4", "own-4", "book")
    await script.record_audit()
    script.record_run_counts()
