"""Steps on the guarantees to callers."""

import hashlib
import json

from behave import given, then, when

from ebonylb_standins.sessions.fault_session import CRASH_MARKER


def count_runs(context, slot):
    """Return the number of runs of a booking on all backend servers."""
    digest = hashlib.sha256(json.dumps({"slot": slot}).encode()).hexdigest()
    return sum(run.work == digest for run in context.cluster.runs())


def change_until_cleanup(context, name, **settings):
    """Change settings of a stand-in until the end of the scenario."""
    before = context.run(context.cluster.control(name))["settings"]
    context.run(context.cluster.control(name, **settings))
    previous = {key: before[key] for key in settings}

    def restore():
        context.run(context.cluster.control(name, **previous))
        context.run(context.script.wait_ready())

    context.add_cleanup(restore)


@given('the desk has booked slot "{slot}" with the key "{key}"')
def book(context, slot, key):
    context.first_booking = context.run(context.script.book(slot, key))
    assert context.first_booking[0] == 200, context.first_booking


@when('the desk sends slot "{slot}" with the key "{key}" through each entry VM at once')
def book_everywhere(context, slot, key):
    script = context.script
    bookings = [script.book(slot, key, name) for name in script.running_entry_vms]
    context.responses = context.run(script.run_concurrently(*bookings))


@then("every response is the first booking")
def check_same_booking(context):
    assert len(context.responses) == len(context.script.running_entry_vms)
    for response in context.responses:
        assert response == context.first_booking, (response, context.first_booking)


@then('slot "{slot}" ran {count:d} time')
def check_run_count(context, slot, count):
    assert count_runs(context, slot) == count


@given("the desk holds a key issued by an entry VM")
def issue_key(context):
    name = context.script.running_entry_vms[0]
    (context.key,) = context.run(context.script.issue_keys(1, name))


@given("the platform is down")
def take_platform_down(context):
    change_until_cleanup(context, "platform", down=True)


@when('the desk sends slot "{slot}" with its issued key')
def book_with_issued_key(context, slot):
    through = context.script.running_entry_vms[-1]
    context.response = context.run(context.script.book(slot, context.key, through))


@then("the response is a booking")
def check_booking(context):
    status, body = context.response
    assert status == 200 and body["booking"], context.response


@given("nothing is wrong")
def do_nothing(context):
    pass


@given("the booking desk has been drained")
def drain_desk(context):
    spec = context.cluster.topology.plain_services[0]
    assert context.run(context.script.drain(spec, True)) == 200

    def undo():
        context.run(context.script.drain(spec, False))
        context.run(context.script.wait_ready())

    context.add_cleanup(undo)


@given("the booking desk loses its response")
def make_desk_lose_responses(context):
    name = context.cluster.topology.plain_services[0].name
    change_until_cleanup(context, name, drop_answer_share=1.0)


@given("every engine breaks its streams")
def make_engines_break_streams(context):
    for spec in context.cluster.topology.engines:
        change_until_cleanup(context, spec.name, break_share=1.0)


@when("the desk sends a generation that crashes")
def send_crashing_generation(context):
    cluster = context.cluster
    engines = [spec.name for spec in cluster.topology.engines]

    def restart_engines():
        for name in engines:
            if not cluster.processes[name].is_running:
                context.run(cluster.restart(name))
        context.run(context.script.wait_ready())

    context.add_cleanup(restart_engines)
    body = {**generation_body(context, 60), "prompt": f"{CRASH_MARKER} len=60"}
    post(context, "/v1/generate", body, deadline_ms=10_000)


def post(context, path, body, deadline_ms=4_000, **headers):
    """Post as the desk; store status, body and Retry-After in the context."""
    cluster, script = context.cluster, context.script

    async def send():
        token = cluster.party_tokens[script.desk]
        headers["Authorization"] = f"Bearer {token}"
        headers["X-Deadline-Ms"] = str(deadline_ms)
        async with cluster.http.post(
            cluster.url(script.running_entry_vms[0]) + path, json=body, headers=headers
        ) as response:
            content = await response.json(content_type=None)
            return response.status, content, response.headers.get("Retry-After")

    context.status, context.body, context.retry_after = context.run(send())


@when("the desk sends a booking of an unknown service")
def send_unknown_service(context):
    post(context, "/v1/call/no-such-desk", {}, **{"Idempotency-Key": "k-unknown"})


@when("the desk sends another booking with a used key")
def send_used_key(context):
    context.run(context.script.book("gate-3", "k-used"))
    path = f"/v1/call/{context.cluster.topology.plain_service}"
    post(context, path, {"slot": "gate-4"}, **{"Idempotency-Key": "k-used"})


@when("the desk sends a booking")
def send_booking(context):
    path = f"/v1/call/{context.cluster.topology.plain_service}"
    post(context, path, {}, **{"Idempotency-Key": context.scenario.name})


def generation_body(context, tokens):
    """Return the body of a generation with a number of tokens."""
    service = context.cluster.topology.engine_service
    prompt = f"kiln len={tokens}"
    return {"service": service, "prompt": prompt, "max_tokens": tokens}


@when("the desk sends a generation")
def send_generation(context):
    post(context, "/v1/generate", generation_body(context, 60))


@when("the desk sends a generation that is too long")
def send_long_generation(context):
    # An engine takes 2 ms per token, so that the deadline passes during the generation.
    post(context, "/v1/generate", generation_body(context, 2_000), deadline_ms=400)


@then('the status is {status:d} and the outcome is "{outcome}"')
def check_refusal(context, status, outcome):
    actual = (context.status, context.body.get("outcome"))
    assert actual == (status, outcome), (context.status, context.body)


@then("the refusal names {time} to retry")
def check_retry_time(context, time):
    has_time = time == "a time"
    assert (context.body["retry_after_ms"] is not None) == has_time, context.body
    assert (context.retry_after is not None) == has_time, context.retry_after
    if has_time:
        assert int(context.retry_after) * 1000 >= context.body["retry_after_ms"] > 0
