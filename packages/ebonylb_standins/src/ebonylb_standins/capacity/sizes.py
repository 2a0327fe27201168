"""Sizes of messages and stored rows at the target, from the product's encoders."""

import base64
import os
import tracemalloc

import msgspec

from ebonylb.interfaces import Check, VmEntry, Write
from ebonylb.membership.delta import HeartbeatDelta
from ebonylb.peers.messages import (
    AnswerChunk,
    ForwardGenerate,
    Heartbeat,
    ServerMark,
    ShardDigest,
    encode,
)

from .site import SERVICE, domain_name, make_sheet, server_entry
from .target import TARGET


def make_heartbeat(shards: int, parties: int, sequence: int = 1) -> Heartbeat:
    """Return a full heartbeat with values of the target site."""
    digests = [
        ShardDigest(SERVICE, n * 7, 40_000 + sequence * 9_000, 15_000, 120, 18)
        for n in range(shards)
    ]
    served = {f"{SERVICE}/party-{n:03d}": 10**9 + sequence for n in range(parties)}
    return Heartbeat(
        "entry-domain-00-003",
        "0000019b0d4c2f5a8c1d2e3f",
        "10.20.30.40:7001",
        domain_name(0),
        "region-0",
        13_000,
        "ready",
        digests,
        served,
        list(served)[: parties // 4],
        sequence,
    )


def heartbeat_sizes(parties: int) -> dict[str, int]:
    """Return the bytes of a full heartbeat and of deltas.

    Deltas are encoded without and with served tokens.
    """
    shards = -(-TARGET.shards_per_domain // int(TARGET.members_per_domain))
    delta = HeartbeatDelta()
    full = delta.encode(make_heartbeat(shards, parties), 0.0, 8_000)
    delta_without_served = delta.encode(make_heartbeat(shards, parties, 2), 1.0, 8_000)
    delta_with_served = delta.encode(make_heartbeat(shards, parties, 3), 9_000.0, 8_000)
    return {
        "full": len(encode(full)),
        "delta": len(encode(delta_without_served)),
        "delta with served tokens": len(encode(delta_with_served)),
    }


def vm_list_bytes() -> int:
    """Return the bytes of the VM list at the target, as read from the platform."""
    entries = [server_entry(n) for n in range(TARGET.list_entries)]
    return len(msgspec.json.encode({"entries": entries}))


def sheet_bytes(parties: int) -> int:
    """Return the bytes of the sheet in the configuration row."""
    return len(make_sheet([f"party-{n:03d}" for n in range(parties)]))


def message_sizes() -> dict[str, int]:
    """Return the bytes of the messages of a forwarded request and of a server mark."""
    prompt = "x" * 400
    forward = ForwardGenerate(
        "r-0123456789abcdef", "party-001", SERVICE, 3, prompt, 512, 7, "", 60_000
    )
    return {
        "forward": len(encode(forward)),
        "chunk of 1 token": len(encode(AnswerChunk("word ", 1, 12, "lm-00-00001"))),
        "chunk of 16 tokens": len(
            encode(AnswerChunk("word " * 16, 16, 12, "lm-00-00001"))
        ),
        "mark": len(encode(ServerMark("lm-00-1", "0" * 32, 1, "vm list", True))),
    }


def call_row_bytes(body_bytes: int = 200) -> int:
    """Return the bytes of the check and the write of one call in a group commit."""
    body = base64.b64encode(os.urandom(body_bytes)).decode()
    value = {
        "token": "0" * 32,
        "state": "answered",
        "holder": "entry-domain-00-003",
        "answer": {"status": 200, "body": body, "content_type": "application/json"},
    }
    key = "party-001/" + "0" * 32
    return len(
        msgspec.json.encode([Check("calls", key, 1), Write("calls", key, value)])
    )


def vm_list_memory_mb(count: int) -> float:
    """Return the memory of a decoded VM list of servers, measured with tracemalloc."""
    body = msgspec.json.encode([server_entry(n) for n in range(count)])
    tracemalloc.start()
    entries = msgspec.json.decode(body, type=list[VmEntry])
    size_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert len(entries) == count
    return size_bytes / 1e6
