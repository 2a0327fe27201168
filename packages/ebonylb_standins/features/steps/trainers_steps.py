"""Steps on what trainers are promised."""

import base64
import json

from behave import given, then, when

SLOTS = 12
READ_LIMIT_S = 15


def declaration(context, trainer, session, slots=()):
    """Return the body that opens or resumes the step."""
    bitmap = bytearray(2)
    for slot in slots:
        bitmap[slot // 8] |= 1 << slot % 8
    return {
        "trainer": trainer,
        "step": 40,
        "session": session,
        "service": context.cluster.topology.engine_service,
        "acknowledged": base64.b64encode(bitmap).decode(),
        "prompts": [f"lime group {group}" for group in range(4)],
        "samples_per_group": 3,
        "max_tokens": 64,
        "trainer_version": 1,
        "staleness_bound": 1,
    }


def read(context, name, body, most=None):
    """Open a step and return the status and up to `most` lines."""
    cluster = context.cluster

    async def lines():
        token = cluster.party_tokens[cluster.topology.parties[0]]
        async with cluster.http.post(
            cluster.url(name) + "/v1/steps",
            json=body,
            headers={"Authorization": f"Bearer {token}"},
        ) as answer:
            if answer.status != 200:
                return answer.status, [await answer.json()]
            found = []
            async for raw in answer.content:
                found.append(json.loads(raw))
                if len(found) == most or found[-1]["type"] != "sample":
                    break
            return answer.status, found

    return context.run(lines(), READ_LIMIT_S)


@given("a trainer has {count:d} of the 12 samples of a step when its connection ends")
def first_session(context, count):
    trainer = context.cluster.topology.parties[0]
    name = context.script.running_entry_vms[0]
    _, lines = read(context, name, declaration(context, trainer, 1), count)
    context.had = {line["slot"]: line for line in lines}
    assert len(context.had) == count, lines


@when("it reconnects to another entry VM with its bitmap")
def reconnect(context):
    trainer = context.cluster.topology.parties[0]
    body = declaration(context, trainer, 2, context.had)
    _, context.lines = read(context, context.script.running_entry_vms[1], body)


@then("it gets the other {count:d} samples, each once")
def rest(context, count):
    *samples, last = context.lines
    slots = [line["slot"] for line in samples]
    assert last["type"] == "end", last
    assert len(slots) == count
    assert sorted([*slots, *context.had]) == list(range(SLOTS))


@then("every sample names the weight versions that produced it")
def versions(context):
    for line in (*context.had.values(), *context.lines[:-1]):
        parts = line["segments"]
        assert all(part["version"] >= 1 for part in parts), line
        assert sum(part["tokens"] for part in parts) == line["tokens"], line


@when("a trainer opens a step of another trainer")
def foreign_step(context):
    other = context.cluster.topology.parties[1]
    body = declaration(context, other, 1)
    context.status, (context.body,) = read(
        context, context.script.running_entry_vms[0], body
    )
