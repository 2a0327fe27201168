"""Order in which the shards of a region load a version, and their sources."""

from xxhash import xxh64_intdigest


def shard_ranks(shards: list[str], version: int) -> list[str]:
    """Return a region's shards in the order in which they load a version.

    The order depends on the version, so that no shard is always the last one. All entry
    VMs with the same view compute the same order without communication.
    """
    return sorted(
        shards,
        key=lambda shard: (xxh64_intdigest(f"{version}|{shard}".encode()), shard),
    )


def ancestor_ranks(rank: int) -> list[int]:
    """Return the ranks to load from, the parent first; empty for rank 0.

    Clearing the highest bit yields a binomial tree, in which the number of shards that
    have the version doubles in each round. The other ancestors are used when the parent
    fails.
    """
    ancestors = []
    while rank:
        rank &= ~(1 << (rank.bit_length() - 1))
        ancestors.append(rank)
    return ancestors


def first_server(names: list[str], version: int) -> str:
    """Return the server of a shard that loads a version first.

    The shard's owner and the owners of shards that load from it compute the same
    server.
    """
    return max(
        names, key=lambda name: (xxh64_intdigest(f"{version}|{name}".encode()), name)
    )
