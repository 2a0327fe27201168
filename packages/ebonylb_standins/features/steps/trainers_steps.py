"""Steps on the guarantees to trainers."""

import base64
import json

from behave import given, then, when

SLOT_COUNT = 12
READ_TIMEOUT_S = 15


def step_declaration(context, trainer, session, slots=()):
    """Return the request body that opens or resumes the step."""
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


def read_step(context, name, body, max_lines=None):
    """Open a step; return the status and up to `max_lines` lines.

    Reading ends early at a line that is not a sample.
    """
    cluster = context.cluster

    async def read_lines():
        token = cluster.party_tokens[cluster.topology.parties[0]]
        async with cluster.http.post(
            cluster.url(name) + "/v1/steps",
            json=body,
            headers={"Authorization": f"Bearer {token}"},
        ) as response:
            if response.status != 200:
                return response.status, [await response.json()]
            received = []
            async for raw in response.content:
                received.append(json.loads(raw))
                if len(received) == max_lines or received[-1]["type"] != "sample":
                    break
            return response.status, received

    return context.run(read_lines(), READ_TIMEOUT_S)


@given("a trainer has {count:d} of the 12 samples of a step when its connection ends")
def read_part_of_step(context, count):
    trainer = context.cluster.topology.parties[0]
    name = context.script.running_entry_vms[0]
    _, lines = read_step(context, name, step_declaration(context, trainer, 1), count)
    context.acknowledged = {line["slot"]: line for line in lines}
    assert len(context.acknowledged) == count, lines


@when("it reconnects to another entry VM with its bitmap")
def reconnect(context):
    trainer = context.cluster.topology.parties[0]
    body = step_declaration(context, trainer, 2, context.acknowledged)
    _, context.lines = read_step(context, context.script.running_entry_vms[1], body)


@then("it gets the other {count:d} samples, each once")
def check_rest(context, count):
    *samples, last = context.lines
    slots = [line["slot"] for line in samples]
    assert last["type"] == "end", last
    assert len(slots) == count
    assert sorted([*slots, *context.acknowledged]) == list(range(SLOT_COUNT))


@then("every sample names the weight versions that produced it")
def check_versions(context):
    for line in (*context.acknowledged.values(), *context.lines[:-1]):
        parts = line["segments"]
        assert all(part["version"] >= 1 for part in parts), line
        assert sum(part["tokens"] for part in parts) == line["tokens"], line


@when("a trainer opens a step of another trainer")
def open_foreign_step(context):
    other = context.cluster.topology.parties[1]
    body = step_declaration(context, other, 1)
    context.status, (context.body,) = read_step(
        context, context.script.running_entry_vms[0], body
    )
