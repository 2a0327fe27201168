"""Where a shard's first server loads a version from."""

from xxhash import xxh64_intdigest


def shard_ranks(shards: list[str], version: int) -> list[str]:
    """Return a region's shards in the order in which they get a version.

    The order changes with the version, so that no shard always comes last. All
    entry VMs with the same view arrive at the same order without a message.
    """
    return sorted(
        shards,
        key=lambda shard: (xxh64_intdigest(f"{version}|{shard}".encode()), shard),
    )


def ancestor_ranks(rank: int) -> list[int]:
    """Return the ranks to load from, best first; empty for rank 0.

    Clearing the highest bit gives a binomial tree, in which the number of shards
    that have the version doubles each round. The other ancestors serve when the
    parent fails.
    """
    ancestors = []
    while rank:
        rank &= ~(1 << (rank.bit_length() - 1))
        ancestors.append(rank)
    return ancestors


def first_server(names: list[str], version: int) -> str:
    """Return the server of a shard that loads a version first.

    It is computed alike by the shard's owner and by those that load from it.
    """
    return max(
        names, key=lambda name: (xxh64_intdigest(f"{version}|{name}".encode()), name)
    )
