"""Sizes and rates of the target site, and values derived from them."""

from dataclasses import dataclass

DAY_S = 86_400


@dataclass(frozen=True, slots=True)
class Target:
    """Target site as specified in ``docs/design.md``, section 1.4."""

    entry_vms: int = 340
    replicas: int = 12_000
    requests_per_s: int = 14_000
    tokens_per_s: int = 5_900_000
    step_limit_s: int = 16 * 60
    trainers: int = 7
    samples_per_step: int = 2_048
    weights_interval_s: int = 120
    weights_limit_s: int = 10
    regions: int = 9
    domains: int = 21
    changes_per_day: int = 13_000
    cpu_percent: float = 2.1
    memory_mb: float = 32.0
    control_bytes_per_s: int = 2_000
    failures_per_day: int = 77
    restarts_per_day: int = 3_500
    parties: int = 20

    @property
    def members_per_domain(self) -> float:
        """Return the mean number of entry VMs in a failure domain."""
        return self.entry_vms / self.domains

    @property
    def heartbeat_interval_s(self) -> float:
        """Return the heartbeat interval of a domain, which grows with its members."""
        return max(0.5, self.members_per_domain * 0.125)

    @property
    def shards_per_domain(self) -> int:
        """Return the shards of one service in a domain, which is a power of two."""
        min_shards = -(-self.replicas // self.domains // 32) or 1
        return 1 << (min_shards - 1).bit_length()

    @property
    def shards(self) -> int:
        """Return the shards of one service in all domains."""
        return self.shards_per_domain * self.domains

    @property
    def requests_per_vm(self) -> float:
        """Return the requests per second of each entry VM."""
        return self.requests_per_s / self.entry_vms

    @property
    def tokens_per_vm(self) -> float:
        """Return the tokens per second that each entry VM relays to callers."""
        return self.tokens_per_s / self.entry_vms

    @property
    def tokens_per_request(self) -> float:
        """Return the mean length of a response in tokens."""
        return self.tokens_per_s / self.requests_per_s

    @property
    def forwarded_share(self) -> float:
        """Return the share of requests that are forwarded to another entry VM."""
        return 1 - 1 / self.members_per_domain

    @property
    def changes_per_s(self) -> float:
        """Return the configuration changes per second, averaged over a day."""
        return self.changes_per_day / DAY_S

    @property
    def samples_per_s(self) -> float:
        """Return the samples per second of all trainers.

        Each trainer completes a step per `step_limit_s`.
        """
        return self.trainers * self.samples_per_step / self.step_limit_s

    @property
    def list_entries(self) -> int:
        """Return the number of entries in the VM list."""
        return self.entry_vms + self.replicas


TARGET = Target()
