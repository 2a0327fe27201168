"""Rows in which batches are stored."""

import zlib
from collections.abc import Iterable, Sequence

import msgspec
from xxhash import xxh32_intdigest, xxh64_intdigest

from ..edges.row_store import Put, RowKey, StoredRow
from .model import BatchItem, ItemResult, Partial, Progress

PROGRESS_TABLE = "batches"
ITEMS_TABLE = "batch-items"
RESULTS_TABLE = "batch-results"
PARTIALS_TABLE = "batch-partials"
# Batches are spread over this many partitions, each of which takes 200 transactions a
# second; few partitions keep the first reading of the table short.
PARTITIONS = 8
# Rows must fit into the store's row size; a chunk stays below it.
MAX_ROW_FILL = 0.9
COMPRESSION_LEVEL = 1
# Suffixes of the items table, in the order of their keys.
HASHES_SUFFIX, ITEMS_SUFFIX = "hashes", "items"

encoder = msgspec.msgpack.Encoder()
progress_decoder = msgspec.msgpack.Decoder(Progress)
items_decoder = msgspec.msgpack.Decoder(list[BatchItem])
hashes_decoder = msgspec.msgpack.Decoder(list[int])
result_decoder = msgspec.msgpack.Decoder(ItemResult)
partial_decoder = msgspec.msgpack.Decoder(tuple[int, list[str], list[int]])


def partition_of(batch_id: str) -> str:
    """Return the partition that holds all rows of a batch."""
    return f"p{xxh64_intdigest(batch_id.encode()) % PARTITIONS}"


def progress_key(batch_id: str) -> RowKey:
    """Return the key of the row that changes with each commit."""
    return RowKey(PROGRESS_TABLE, partition_of(batch_id), batch_id)


def batch_row_key(table: str, batch_id: str, suffix: str) -> RowKey:
    """Return the key of a row that belongs to a batch."""
    return RowKey(table, partition_of(batch_id), f"{batch_id}/{suffix}")


def key_range(batch_id: str, start: str = "") -> tuple[str, str]:
    """Return the range of keys of a batch, from a suffix on."""
    return f"{batch_id}/{start}", f"{batch_id}0"


def encode_progress(progress: Progress) -> Put:
    """Return the write of a progress row."""
    return Put(progress_key(progress.header.batch_id), encoder.encode(progress))


def decode_progress(row: StoredRow) -> Progress:
    """Return the progress in a row."""
    return progress_decoder.decode(row.value)


def split_value(
    table: str, batch_id: str, suffix: str, value: bytes, row_bytes: int
) -> list[Put]:
    """Return the writes of a value that may be larger than a row."""
    size = int(row_bytes * MAX_ROW_FILL)
    return [
        Put(
            batch_row_key(table, batch_id, f"{suffix}.{number:04d}"),
            value[start : start + size],
        )
        for number, start in enumerate(range(0, max(1, len(value)), size))
    ]


def join_values(rows: Iterable[StoredRow]) -> list[tuple[str, bytes]]:
    """Return suffixes and values, with split values put together again."""
    joined: dict[str, bytes] = {}
    for row in rows:
        suffix = row.at.key.partition("/")[2].rpartition(".")[0]
        joined[suffix] = joined.get(suffix, b"") + row.value
    return list(joined.items())


def encode_items(
    batch_id: str, items: Sequence[BatchItem], row_bytes: int
) -> list[Put]:
    """Return the writes of the items."""
    value = zlib.compress(encoder.encode(list(items)), COMPRESSION_LEVEL)
    return split_value(ITEMS_TABLE, batch_id, ITEMS_SUFFIX, value, row_bytes)


def decode_items(rows: Iterable[StoredRow]) -> tuple[BatchItem, ...]:
    """Return the items of a batch."""
    values = join_values(rows)
    if not values:
        return ()
    return tuple(items_decoder.decode(zlib.decompress(values[0][1])))


def item_hash(item_id: str) -> int:
    """Return a short hash of an item's id."""
    return xxh32_intdigest(item_id.encode())


def encode_item_hashes(batch_id: str, items: Sequence[BatchItem]) -> Put:
    """Return the write of the row that tells which items a batch has.

    A later batch may contain some of them again; this row is a hundredth of what is
    stored of them.
    """
    hashes = [item_hash(item.item_id) for item in items]
    return Put(
        batch_row_key(ITEMS_TABLE, batch_id, HASHES_SUFFIX), encoder.encode(hashes)
    )


def decode_item_hashes(rows: Iterable[StoredRow]) -> frozenset[int]:
    """Return the hashes of a batch's items."""
    return frozenset(h for row in rows for h in hashes_decoder.decode(row.value))


def encode_result(
    batch_id: str, position: int, result: ItemResult, row_bytes: int
) -> list[Put]:
    """Return the writes of the result at a position."""
    return split_value(
        RESULTS_TABLE,
        batch_id,
        f"{position:08d}",
        encoder.encode(result),
        row_bytes,
    )


def decode_results(rows: Iterable[StoredRow]) -> list[ItemResult]:
    """Return results in the order of their positions."""
    return [result_decoder.decode(value) for _, value in join_values(rows)]


def encode_partial(
    batch_id: str,
    item_id: str,
    first_event: int,
    events: Sequence[str],
    versions: Sequence[int],
) -> Put:
    """Return the write of further events of an unfinished item.

    `first` is the number of the first of these events, from 0.
    """
    return Put(
        batch_row_key(PARTIALS_TABLE, batch_id, f"{item_id}.{first_event:06d}"),
        encoder.encode((first_event, list(events), list(versions))),
    )


def decode_partials(rows: Iterable[StoredRow]) -> dict[str, Partial]:
    """Return the unfinished items of a batch, as far as their events are whole.

    Several holders may have stored events of one item; a later row that does not
    begin where the known events end is left out.
    """
    partials: dict[str, Partial] = {}
    for row in rows:
        item_id = row.at.key.partition("/")[2].rpartition(".")[0]
        first_event, events, versions = partial_decoder.decode(row.value)
        partial = partials.get(item_id, Partial())
        if first_event == len(partial.events):
            partials[item_id] = partial.extended(tuple(events), tuple(versions))
    return partials
