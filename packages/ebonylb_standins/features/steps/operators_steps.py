"""Steps on what operators are promised."""

import asyncio
import re
from pathlib import Path

import aiohttp
from behave import given, then, when

from ebonylb_standins.sessions.script import sheet_text
from ebonylb_standins.streams import StreamReader

EXAMPLES = Path(__file__).parents[4] / "examples"


def revisions(context):
    """Return the revision of each entry VM."""
    script = context.script
    _, shown = context.run(
        script.send_as_operator(script.running_entry_vms[0], "GET", "/admin/status")
    )
    return {vm["name"]: vm["revision"] for vm in shown["entry_vms"]}


@when("an operator applies the sheet with five mistakes")
def apply_mistakes(context):
    context.before = revisions(context)
    sheet = (EXAMPLES / "sheet_with_mistakes.jsonc").read_text(encoding="utf-8")
    base = max(context.before.values())
    body = {"sheet": sheet, "base_revision": base}
    name = context.script.running_entry_vms[0]
    context.answer = context.run(
        context.script.send_as_operator(name, "POST", "/admin/apply", body)
    )


@then("the mistakes on the lines {lines} are named")
def mistakes_named(context, lines):
    status, body = context.answer
    assert status == 422, context.answer
    found = [re.match(r"line (\d+): ", problem)[1] for problem in body["problems"]]
    assert found == re.findall(r"\d+", lines), body


@then("the revision is the same as before on every entry VM")
def same_revision(context):
    assert revisions(context) == context.before


@when("two operators apply different sheets made from the same revision")
def race(context):
    script = context.script
    context.base = max(revisions(context).values())
    work = [
        script.send_as_operator(
            name,
            "POST",
            "/admin/apply",
            {
                "sheet": sheet_text(script.topology, weight),
                "base_revision": context.base,
            },
        )
        for name, weight in zip(script.running_entry_vms, (5.0, 6.0), strict=False)
    ]
    answers = context.run(script.run_concurrently(*work))
    context.won, context.lost = sorted(answers, key=lambda answer: answer[0])


@then("one sheet is in force on every entry VM")
def one_in_force(context):
    status, body = context.won
    assert status == 200 and body["revision"] == context.base + 1, context.won
    context.run(context.script.wait_in_force(body["revision"]))


@then("the other operator is told the current revision and the difference")
def loser_told(context):
    status, body = context.lost
    assert status == 409, context.lost
    assert body["current_revision"] == context.base + 1
    paths = [change["path"] for change in body["difference"]]
    assert paths == ["services.kiln-lm.shares.bookings"], body


@given("an operator has drained an engine")
def drain_engine(context):
    # A mark names an incarnation, so an engine is chosen that was not restarted: entry
    # VMs learn of a new incarnation only with the next reading of the VM list.
    cluster = context.cluster
    spec = next(
        spec
        for spec in cluster.topology.engines
        if cluster.processes[spec.name].starts == 1
    )
    context.drained = spec.name
    assert context.run(context.script.drain(spec, True)) == 200

    def undo():
        context.run(context.script.drain(spec, False))
        context.run(context.script.wait_ready())

    context.add_cleanup(undo)
    context.runs = context.run(cluster.counters(spec.name)).get("runs", 0)


@when("{count:d} generations are sent through each entry VM")
def send_many(context, count):
    script = context.script
    service = script.topology.engine_service
    work = [
        script.send(
            script.desk,
            "/v1/generate",
            {"service": service, "prompt": f"q {number}", "max_tokens": 16},
            name,
        )
        for name in script.running_entry_vms
        for number in range(count)
    ]
    context.answers = context.run(script.run_concurrently(*work))


@then("all of them are answered")
def all_answered(context):
    statuses = [status for status, _ in context.answers]
    assert set(statuses) == {200}, context.answers


@then("the drained engine got none of them")
def none_there(context):
    runs = context.run(context.cluster.counters(context.drained)).get("runs", 0)
    assert runs == context.runs, (runs, context.runs)


@then("the audit trail names the operator and the drained engine")
def drain_audited(context):
    name = context.script.running_entry_vms[0]
    _, shown = context.run(context.script.send_as_operator(name, "GET", "/admin/audit"))
    rows = [(row["author"], row["outcome"], row.get("server")) for row in shown["rows"]]
    assert ("operator", "drain", context.drained) in rows, rows


@given("{count:d} streams run through an entry VM")
def streams_run(context, count):
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

    async def begin():
        session = aiohttp.ClientSession()
        tasks = [asyncio.create_task(reader.read(session)) for reader in readers]
        async with asyncio.timeout(10):
            await script.run_concurrently(
                *(reader.started.wait() for reader in readers)
            )
        return session, tasks

    context.session, context.tasks = context.run(begin())
    context.add_cleanup(lambda: context.run(context.session.close()))


@when("that entry VM gets SIGTERM")
def terminate(context):
    cluster = context.cluster
    assert not any(task.done() for task in context.tasks), "the streams ended before"
    cluster.terminate(context.leaving)
    context.code = context.run(cluster.wait_exit(context.leaving, 20_000))

    def replace():
        context.run(cluster.restart(context.leaving))
        context.run(context.script.wait_ready())

    context.add_cleanup(replace)


@then("all {count:d} streams arrive whole")
def streams_whole(context, count):
    async def results():
        return await asyncio.gather(*context.tasks, return_exceptions=True)

    assert context.run(results()) == [None] * count


@then("its exit code is {code:d}")
def exit_code(context, code):
    assert context.code == code
