"""Delta encoding of heartbeats against the last state sent to a peer."""

from ..peers.messages import Heartbeat, ShardDigest
from .incarnation import SUFFIX_DIGITS


class HeartbeatDelta:
    """Encodes the heartbeats for one peer as deltas against the last one sent.

    Load values that changed by less than a tenth are omitted, because the expected
    wait that peers compute from them is less precise than that. Served tokens are
    included every `served_interval_ms`, because shares are corrected over seconds.
    """

    def __init__(self) -> None:
        self.base: Heartbeat | None = None
        self.served_sent_ms = 0.0

    def reset(self) -> None:
        """Discard the base, so that the next heartbeat is sent in full."""
        self.base = None

    def encode(
        self, current: Heartbeat, now_ms: float, served_interval_ms: float
    ) -> Heartbeat:
        """Return the heartbeat to send, and make it the new base.

        The heartbeat is full when there is no base or the set of owned shards has
        changed.
        """
        base = self.base
        shards = {(shard.service, shard.shard): shard for shard in current.shards}
        base_shards = (
            {} if base is None else {(s.service, s.shard): s for s in base.shards}
        )
        if base is None or shards.keys() != base_shards.keys():
            self.base = current
            self.served_sent_ms = now_ms
            return current
        changed = [
            s for key, s in shards.items() if has_load_changed(base_shards[key], s)
        ]
        served = {}
        if now_ms - self.served_sent_ms >= served_interval_ms:
            self.served_sent_ms = now_ms
            served = {
                party: tokens
                for party, tokens in current.served.items()
                if base.served.get(party) != tokens
            }
        base_shards.update({(s.service, s.shard): s for s in changed})
        self.base = apply_delta(base, list(base_shards.values()), served)
        return Heartbeat(
            current.entry_vm,
            current.incarnation[-SUFFIX_DIGITS:],
            "",
            "",
            "",
            current.revision,
            current.lifecycle,
            changed,
            served,
            current.backlogged,
            current.sequence,
        )


def apply_delta(
    base: Heartbeat, shards: list[ShardDigest], served: dict[str, int]
) -> Heartbeat:
    """Return the peer's state after a delta with these shards and served tokens."""
    return Heartbeat(
        base.entry_vm,
        base.incarnation,
        base.address,
        base.failure_domain,
        base.region,
        base.revision,
        base.lifecycle,
        shards,
        {**base.served, **served},
    )


def has_load_changed(before: ShardDigest, after: ShardDigest) -> bool:
    """Return whether a shard's load changed enough to be sent again."""
    return (
        before.servers != after.servers
        or (before.free > 0) != (after.free > 0)
        or any(
            abs(old - new) > max(old, new) / 10
            for old, new in (
                (before.queued_tokens, after.queued_tokens),
                (before.tokens_per_s, after.tokens_per_s),
                (before.free, after.free),
            )
        )
    )
