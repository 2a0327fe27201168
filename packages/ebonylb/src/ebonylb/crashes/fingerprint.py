"""Fingerprint of a request, equal across repeated sends, entry VMs and attempts."""

from collections.abc import Iterable

from xxhash import xxh64_intdigest, xxh128

from ..routing.work import GenerateWork, Work


def fingerprint(work: Work) -> str:
    """Return 32 hexadecimal digits that are equal for repeated sends of a request.

    The request id and the seed are omitted because they change between sends. The token
    limit and the text generated so far are omitted because they change when an attempt
    is continued on another server; otherwise the strikes of one request would be
    counted under several fingerprints, and it could crash more than two servers.
    """
    payload = work.payload
    digest = xxh128(work.service.encode())
    digest.update(b"\0" + work.kind.encode() + b"\0")
    if isinstance(payload, GenerateWork):
        digest.update(payload.prompt.encode())
    else:
        digest.update(payload.content_type.encode() + b"\0" + payload.body)
    return digest.hexdigest()


def home_shard(fingerprint: str, shards: Iterable[int]) -> int:
    """Return the shard with the highest rendezvous score for a fingerprint.

    All entry VMs send a request with strikes to the same shard, so that a single owner
    can prevent overlapping runs of it.
    """
    return max(
        shards, key=lambda shard: xxh64_intdigest(f"{shard}/{fingerprint}".encode())
    )
