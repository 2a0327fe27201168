"""Steps on the guarantees to operators."""

import asyncio
import re
from pathlib import Path

import aiohttp
from behave import given, then, when

from ebonylb_standins.sessions.script import sheet_text
from ebonylb_standins.streams import StreamReader

EXAMPLES_FOLDER = Path(__file__).parents[4] / "examples"


def read_revisions(context):
    """Return the revision of each entry VM."""
    script = context.script
    _, body = context.run(
        script.send_as_operator(script.running_entry_vms[0], "GET", "/admin/status")
    )
    return {vm["name"]: vm["revision"] for vm in body["entry_vms"]}


@when("an operator applies the sheet with five mistakes")
def apply_wrong_sheet(context):
    context.revisions_before = read_revisions(context)
    sheet = (EXAMPLES_FOLDER / "sheet_with_mistakes.jsonc").read_text(encoding="utf-8")
    base_revision = max(context.revisions_before.values())
    body = {"sheet": sheet, "base_revision": base_revision}
    name = context.script.running_entry_vms[0]
    context.response = context.run(
        context.script.send_as_operator(name, "POST", "/admin/apply", body)
    )


@then("the mistakes on the lines {lines} are named")
def check_mistakes(context, lines):
    status, body = context.response
    assert status == 422, context.response
    actual_lines = [
        re.match(r"line (\d+): ", problem)[1] for problem in body["problems"]
    ]
    assert actual_lines == re.findall(r"\d+", lines), body


@then("the revision is the same as before on every entry VM")
def check_same_revisions(context):
    assert read_revisions(context) == context.revisions_before


@when("two operators apply different sheets made from the same revision")
def apply_concurrently(context):
    script = context.script
    context.base_revision = max(read_revisions(context).values())
    requests = [
        script.send_as_operator(
            name,
            "POST",
            "/admin/apply",
            {
                "sheet": sheet_text(script.topology, weight),
                "base_revision": context.base_revision,
            },
        )
        for name, weight in zip(script.running_entry_vms, (5.0, 6.0), strict=False)
    ]
    responses = context.run(script.run_concurrently(*requests))
    context.winner, context.loser = sorted(responses, key=lambda response: response[0])


@then("one sheet is in force on every entry VM")
def check_one_in_force(context):
    status, body = context.winner
    assert status == 200 and body["revision"] == context.base_revision + 1, (
        context.winner
    )
    context.run(context.script.wait_in_force(body["revision"]))


@then("the other operator is told the current revision and the difference")
def check_conflict(context):
    status, body = context.loser
    assert status == 409, context.loser
    assert body["current_revision"] == context.base_revision + 1
    paths = [change["path"] for change in body["difference"]]
    assert paths == ["services.kiln-lm.shares.bookings"], body


@given("an operator has drained an engine")
def drain_engine(context):
    # A mark names an incarnation, and entry VMs learn of a new incarnation only when
    # they next read the VM list, so the engine must not have been restarted.
    cluster = context.cluster
    spec = next(
        spec
        for spec in cluster.topology.engines
        if cluster.processes[spec.name].starts == 1
    )
    context.drained = spec.name
    assert context.run(context.script.drain(spec, True)) == 200

    def undo_drain():
        context.run(context.script.drain(spec, False))
        context.run(context.script.wait_ready())

    context.add_cleanup(undo_drain)
    context.runs_before = context.run(cluster.counters(spec.name)).get("runs", 0)


@when("{count:d} generations are sent through each entry VM")
def send_generations(context, count):
    script = context.script
    service = script.topology.engine_service
    requests = [
        script.send(
            script.desk,
            "/v1/generate",
            {"service": service, "prompt": f"q {number}", "max_tokens": 16},
            name,
        )
        for name in script.running_entry_vms
        for number in range(count)
    ]
    context.responses = context.run(script.run_concurrently(*requests))


@then("all of them succeed")
def check_all_succeeded(context):
    statuses = [status for status, _ in context.responses]
    assert set(statuses) == {200}, context.responses


@then("the drained engine got none of them")
def check_no_new_runs(context):
    runs = context.run(context.cluster.counters(context.drained)).get("runs", 0)
    assert runs == context.runs_before, (runs, context.runs_before)


@then("the audit trail names the operator and the drained engine")
def check_audit(context):
    name = context.script.running_entry_vms[0]
    _, body = context.run(context.script.send_as_operator(name, "GET", "/admin/audit"))
    rows = [(row["author"], row["outcome"], row.get("server")) for row in body["rows"]]
    assert ("operator", "drain", context.drained) in rows, rows


@given("{count:d} streams run through an entry VM")
def start_streams(context, count):
    script, cluster = context.script, context.cluster
    context.leaving = script.running_entry_vms[-1]
    readers = [
        StreamReader(
            cluster.url(context.leaving),
            cluster.party_tokens[script.desk],
            {
                "service": script.topology.engine_service,
                "prompt": f"stream {number} len=500",
                "max_tokens": 500,
                "seed": number,
                "stream": True,
            },
        )
        for number in range(count)
    ]

    async def open_streams():
        session = aiohttp.ClientSession()
        tasks = [asyncio.create_task(reader.read(session)) for reader in readers]
        async with asyncio.timeout(10):
            await script.run_concurrently(
                *(reader.started.wait() for reader in readers)
            )
        return session, tasks

    context.session, context.tasks = context.run(open_streams())
    context.add_cleanup(lambda: context.run(context.session.close()))


@when("that entry VM gets SIGTERM")
def terminate(context):
    cluster = context.cluster
    assert not any(task.done() for task in context.tasks), (
        "streams ended before SIGTERM"
    )
    cluster.terminate(context.leaving)
    context.exit_code = context.run(cluster.wait_exit(context.leaving, 20_000))

    def restart_entry_vm():
        context.run(cluster.restart(context.leaving))
        context.run(context.script.wait_ready())

    context.add_cleanup(restart_entry_vm)


@then("all {count:d} streams are complete")
def check_streams(context, count):
    async def gather_results():
        return await asyncio.gather(*context.tasks, return_exceptions=True)

    assert context.run(gather_results()) == [None] * count


@then("its exit code is {code:d}")
def check_exit_code(context, code):
    assert context.exit_code == code
