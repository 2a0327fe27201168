"""Configurations of the users' platform as the operator stores them."""

import json
from collections.abc import Sequence
from typing import Any

from .http_servers import SCORING_PREFIX

ENGINE, DESK = "lm", "desk"
MODELS = ("m", "n")
HOST = "site.example"


def configuration(version: int, **batch_fields: Any) -> bytes:
    """Return the operator's configuration as stored; `batch_fields` override fields."""
    batch = {
        "Name": "batch",
        "Host": HOST,
        "Prefix": "/batch/",
        "Kind": "rollout",
        "Service": ENGINE,
        "TimeoutMs": 10_000,
        "TargetLatencyMs": 400,
        "Attempts": 3,
        "RetentionS": 40.0,
        "ResultDeadlineMs": 7_500,
        "Resumable": True,
        "Sticky": True,
    } | batch_fields
    plain = {"Host": HOST, "Service": DESK, "TimeoutMs": 2_000, "Attempts": 2}
    stream = plain | {"Service": ENGINE, "TargetLatencyMs": 400, "Attempts": 3}
    routes = [
        batch,
        {
            "Name": "chat",
            "Prefix": "/chat/",
            "Kind": "streaming",
            **stream,
            "Resumable": True,
        },
        {"Name": "live", "Prefix": "/live/", "Kind": "streaming", **stream},
        {
            "Name": "score",
            "Prefix": SCORING_PREFIX,
            "Kind": "idempotent",
            **plain,
            "TargetLatencyMs": 400,
            "Attempts": 4,
        },
        {"Name": "ask", "Prefix": "/ask/", "Kind": "idempotent", **plain},
        {"Name": "book", "Prefix": "/book/", "Kind": "non_idempotent", **plain},
    ]
    engine = {"Slots": 8, "KvCapacity": 100_000, "Stride": 44}
    engine["Models"] = [{"Name": name} for name in MODELS]
    services = [{"Name": ENGINE, "Engine": engine}, {"Name": DESK}]
    limits = {"MaxBodyBytes": 33_554_432, "IdleTimeoutMs": 15_000}
    return json.dumps(
        {
            "Version": version,
            "Routes": routes,
            "Services": services,
            "Limits": limits,
        }
    ).encode()


def with_customers(
    value: bytes, keys: dict[str, list[str]], public_routes: Sequence[str] = ()
) -> bytes:
    """Return a stored configuration with customers, whose keys are given by name."""
    document = json.loads(value)
    document["Tenants"] = [{"Name": n, "ApiKeys": k} for n, k in keys.items()]
    for route in document["Routes"]:
        route["Public"] = route["Name"] in public_routes
    return json.dumps(document).encode()


def with_scaling(value: bytes, service: str, **fields: Any) -> bytes:
    """Return a stored configuration in which a service is scaled within bounds.

    Only services whose requests all belong to batches are scaled, so that the other
    routes of the service are left out.
    """
    document = json.loads(value)
    document["Routes"] = [
        route
        for route in document["Routes"]
        if route["Service"] != service or route["Kind"] == "rollout"
    ]
    for spec in document["Services"]:
        if spec["Name"] == service:
            spec["Scaling"] = fields
    return json.dumps(document).encode()
