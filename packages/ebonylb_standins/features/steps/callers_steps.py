"""Steps on what callers are promised."""

import hashlib
import json

from behave import given, then, when

from ebonylb_standins.sessions.nights import CRASH_MARKER


def runs_of(context, slot):
    """Return how often a booking ran on all backend servers."""
    digest = hashlib.sha256(json.dumps({"slot": slot}).encode()).hexdigest()
    return sum(run.work == digest for run in context.cluster.runs())


def change(context, name, **settings):
    """Change a stand-in until the end of the scenario."""
    before = context.run(context.cluster.control(name))["settings"]
    context.run(context.cluster.control(name, **settings))
    restored = {key: before[key] for key in settings}

    def restore():
        context.run(context.cluster.control(name, **restored))
        context.run(context.script.ready())

    context.add_cleanup(restore)


@given('the desk has booked slot "{slot}" with the key "{key}"')
def book(context, slot, key):
    context.first = context.run(context.script.book(slot, key))
    assert context.first[0] == 200, context.first


@when('the desk sends slot "{slot}" with the key "{key}" through each entry VM at once')
def book_everywhere(context, slot, key):
    script = context.script
    work = [script.book(slot, key, name) for name in script.names]
    context.answers = context.run(script.at_once(*work))


@then("every answer is the first booking")
def same_booking(context):
    assert len(context.answers) == len(context.script.names)
    for answer in context.answers:
        assert answer == context.first, (answer, context.first)


@then('slot "{slot}" ran {count:d} time')
def ran(context, slot, count):
    assert runs_of(context, slot) == count


@given("the desk holds a key issued by an entry VM")
def issue(context):
    name = context.script.names[0]
    (context.key,) = context.run(context.script.issue_keys(1, name))


@given("the platform is down")
def platform_down(context):
    change(context, "platform", down=True)


@when('the desk sends slot "{slot}" with its issued key')
def book_issued(context, slot):
    through = context.script.names[-1]
    context.answer = context.run(context.script.book(slot, context.key, through))


@then("the answer is a booking")
def is_booking(context):
    status, body = context.answer
    assert status == 200 and body["booking"], context.answer


@given("nothing is wrong")
def nothing(context):
    pass


@given("the booking desk has been drained")
def desk_drained(context):
    spec = context.cluster.topology.plain_services[0]
    assert context.run(context.script.drain(spec, True)) == 200

    def undo():
        context.run(context.script.drain(spec, False))
        context.run(context.script.ready())

    context.add_cleanup(undo)


@given("the booking desk loses its answer")
def desk_loses(context):
    name = context.cluster.topology.plain_services[0].name
    change(context, name, drop_answer_share=1.0)


@given("every engine breaks its streams")
def engines_break(context):
    for spec in context.cluster.topology.engines:
        change(context, spec.name, break_share=1.0)


@when("the desk sends a generation that crashes")
def send_crashing(context):
    cluster = context.cluster
    engines = [spec.name for spec in cluster.topology.engines]

    def replace():
        for name in engines:
            if not cluster.processes[name].is_running:
                context.run(cluster.restart(name))
        context.run(context.script.ready())

    context.add_cleanup(replace)
    body = {**generation(context, 60), "prompt": f"{CRASH_MARKER} len=60"}
    post(context, "/v1/generate", body, deadline_ms=10_000)


def post(context, path, body, deadline_ms=4_000, **headers):
    """Post as the desk and keep status, body and the header Retry-After."""
    cluster, script = context.cluster, context.script

    async def send():
        token = cluster.party_tokens[script.desk]
        headers["Authorization"] = f"Bearer {token}"
        headers["X-Deadline-Ms"] = str(deadline_ms)
        async with cluster.http.post(
            cluster.url(script.names[0]) + path, json=body, headers=headers
        ) as answer:
            shown = await answer.json(content_type=None)
            return answer.status, shown, answer.headers.get("Retry-After")

    context.status, context.body, context.retry_after = context.run(send())


@when("the desk sends a booking of an unknown service")
def unknown_service(context):
    post(context, "/v1/call/no-such-desk", {}, **{"Idempotency-Key": "k-unknown"})


@when("the desk sends another booking with a used key")
def used_key(context):
    context.run(context.script.book("gate-3", "k-used"))
    path = f"/v1/call/{context.cluster.topology.plain_service}"
    post(context, path, {"slot": "gate-4"}, **{"Idempotency-Key": "k-used"})


@when("the desk sends a booking")
def send_booking(context):
    path = f"/v1/call/{context.cluster.topology.plain_service}"
    post(context, path, {}, **{"Idempotency-Key": context.scenario.name})


def generation(context, tokens):
    """Return the body of a generation of some length."""
    service = context.cluster.topology.engine_service
    prompt = f"kiln len={tokens}"
    return {"service": service, "prompt": prompt, "max_tokens": tokens}


@when("the desk sends a generation")
def send_generation(context):
    post(context, "/v1/generate", generation(context, 60))


@when("the desk sends a generation that is too long")
def send_long(context):
    # 2 ms for each token of an engine; the deadline passes in the middle.
    post(context, "/v1/generate", generation(context, 2_000), deadline_ms=400)


@then('the status is {status:d} and the outcome is "{outcome}"')
def refused(context, status, outcome):
    found = (context.status, context.body.get("outcome"))
    assert found == (status, outcome), (context.status, context.body)


@then("the refusal names {time} to come back")
def time_named(context, time):
    expected = time == "a time"
    assert (context.body["retry_after_ms"] is not None) == expected, context.body
    assert (context.retry_after is not None) == expected, context.retry_after
    if expected:
        assert int(context.retry_after) * 1000 >= context.body["retry_after_ms"] > 0
