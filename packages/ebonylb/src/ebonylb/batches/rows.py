"""Encoding of batches as rows of the store."""

import asyncio
import zlib
from collections.abc import Iterable, Sequence

import msgspec
from xxhash import xxh32_intdigest, xxh64_intdigest

from ..interfaces.row_store import Put, RowKey, StoredRow
from ..tasks import in_turns
from .model import BatchItem, ItemResult, Partial, Progress

PROGRESS_TABLE = "batches"
ITEMS_TABLE = "batch-items"
RESULTS_TABLE = "batch-results"
PARTIALS_TABLE = "batch-partials"
# Number of partitions that batches are distributed over. Each partition accepts 200
# transactions per second; few partitions keep the initial read of the table short.
PARTITIONS = 8
# Largest chunk of a value relative to the store's row size, which rows must not exceed.
MAX_ROW_FILL = 0.9
COMPRESSION_LEVEL = 1
# Key suffixes in the items table, in key order.
HASHES_SUFFIX, ITEMS_SUFFIX = "hashes", "items"
# Most bytes of a 32-bit number in msgpack, and the first byte of a long list.
HASH_BYTES = 5
ARRAY_32 = b"\xdd"
# Each takes some milliseconds of one turn of the event loop.
ITEMS_PER_TURN = 500
RESULTS_PER_TURN = 500
HASHES_PER_TURN = 5_000
ENCODED_BYTES_PER_TURN = 131_072
DECOMPRESSED_BYTES_PER_TURN = 262_144

encoder = msgspec.msgpack.Encoder()
progress_decoder = msgspec.msgpack.Decoder(Progress)
raw_items_decoder = msgspec.msgpack.Decoder(list[msgspec.Raw])
item_decoder = msgspec.msgpack.Decoder(BatchItem)
hashes_decoder = msgspec.msgpack.Decoder(list[int])
result_decoder = msgspec.msgpack.Decoder(ItemResult)


class PartialRow(msgspec.Struct, frozen=True, array_like=True):
    """Stored events of an unfinished item; `first_event` is counted from 0.

    `software_version` is that of the servers that made the events. Rows of earlier
    versions of this program name none.
    """

    first_event: int
    events: list[str]
    versions: list[int]
    complete: bool = False
    software_version: str | None = None


partial_decoder = msgspec.msgpack.Decoder(PartialRow)


def partition_of(batch_id: str) -> str:
    """Return the partition that holds all rows of a batch."""
    return f"p{xxh64_intdigest(batch_id.encode()) % PARTITIONS}"


def progress_key(batch_id: str) -> RowKey:
    """Return the key of a batch's progress row."""
    return RowKey(PROGRESS_TABLE, partition_of(batch_id), batch_id)


def batch_row_key(table: str, batch_id: str, suffix: str) -> RowKey:
    """Return the key of a row that belongs to a batch."""
    return RowKey(table, partition_of(batch_id), f"{batch_id}/{suffix}")


def key_range(batch_id: str, start: str = "") -> tuple[str, str]:
    """Return the key range of a batch's rows, starting at a suffix."""
    return f"{batch_id}/{start}", f"{batch_id}0"


def encode_progress(progress: Progress) -> Put:
    """Return the write of a progress row."""
    return Put(progress_key(progress.header.batch_id), encoder.encode(progress))


def decode_progress(row: StoredRow) -> Progress:
    """Decode a progress row."""
    return progress_decoder.decode(row.value)


def split_value(
    table: str, batch_id: str, suffix: str, value: bytes, row_bytes: int
) -> list[Put]:
    """Return the writes of a value, split into numbered chunks that fit into a row."""
    size = int(row_bytes * MAX_ROW_FILL)
    return [
        Put(
            batch_row_key(table, batch_id, f"{suffix}.{number:04d}"),
            value[start : start + size],
        )
        for number, start in enumerate(range(0, max(1, len(value)), size))
    ]


def value_of(row: StoredRow) -> str:
    """Return the suffix of the value to which a row belongs."""
    return row.row_key.key.partition("/")[2].rpartition(".")[0]


def join_values(rows: Iterable[StoredRow]) -> list[tuple[str, bytes]]:
    """Return pairs of suffix and value, with the chunks of each value joined."""
    joined: dict[str, list[bytes]] = {}
    for row in rows:
        joined.setdefault(value_of(row), []).append(row.value)
    return [(suffix, b"".join(chunks)) for suffix, chunks in joined.items()]


async def encode_items(
    batch_id: str, items: Sequence[BatchItem], row_bytes: int
) -> list[Put]:
    """Return the writes of the items, compressed and split into rows.

    The compressed items exist once, in these rows: a batch may take a large part of the
    memory of a process.
    """
    size = int(row_bytes * MAX_ROW_FILL)
    compressor = zlib.compressobj(COMPRESSION_LEVEL)
    rest = bytearray(compressor.compress(ARRAY_32 + len(items).to_bytes(4, "big")))
    values: list[bytes] = []

    def append(compressed: bytes) -> None:
        rest.extend(compressed)
        while len(rest) > size:
            values.append(bytes(rest[:size]))
            del rest[:size]

    turn_bytes = 0
    for item in items:
        encoded = encoder.encode(item)
        append(compressor.compress(encoded))
        turn_bytes += len(encoded)
        if turn_bytes >= ENCODED_BYTES_PER_TURN:
            turn_bytes = 0
            await asyncio.sleep(0)
    append(compressor.flush())
    values.append(bytes(rest))
    return [
        Put(batch_row_key(ITEMS_TABLE, batch_id, f"{ITEMS_SUFFIX}.{number:04d}"), value)
        for number, value in enumerate(values)
    ]


class StoredItems:
    """Items of a batch as they are read from their rows, in order.

    Only the decompressed items are kept, not the rows.
    """

    def __init__(self) -> None:
        self.decompressor = zlib.decompressobj()
        self.encoded = bytearray()
        self.has_rows = False

    async def add(self, value: bytes) -> None:
        """Add the value of the next row."""
        self.has_rows = True
        while value and not self.decompressor.eof:
            self.encoded += self.decompressor.decompress(
                value, DECOMPRESSED_BYTES_PER_TURN
            )
            value = self.decompressor.unconsumed_tail
            await asyncio.sleep(0)

    def split(self) -> list[msgspec.Raw]:
        """Return the encoded items; empty without rows.

        Raises
        ------
        zlib.error
            A row is missing.
        """
        if not self.has_rows:
            return []
        self.encoded += self.decompressor.flush()
        if not self.decompressor.eof:
            raise zlib.error("the compressed items are incomplete")
        return raw_items_decoder.decode(self.encoded)

    async def decode(self) -> tuple[BatchItem, ...]:
        """Return all items."""
        items: list[BatchItem] = []
        async for raw_items in in_turns(self.split(), ITEMS_PER_TURN):
            items.extend(map(item_decoder.decode, raw_items))
        return tuple(items)

    async def find(self, item_id: str) -> BatchItem | None:
        """Return the item with an id, None if there is none."""
        async for raw_items in in_turns(self.split(), ITEMS_PER_TURN):
            for raw in raw_items:
                item = item_decoder.decode(raw)
                if item.item_id == item_id:
                    return item
        return None


async def decode_items(rows: Iterable[StoredRow]) -> tuple[BatchItem, ...]:
    """Decode the items of a batch; empty without rows."""
    stored = StoredItems()
    for row in rows:
        await stored.add(row.value)
    return await stored.decode()


def item_hash(item_id: str) -> int:
    """Return the 32-bit hash of an item's id."""
    return xxh32_intdigest(item_id.encode())


async def encode_item_hashes(
    batch_id: str, items: Sequence[BatchItem], row_bytes: int
) -> list[Put]:
    """Return the writes of the rows with the hashes of a batch's items.

    A later batch may contain some of the items again. These rows show which at a
    hundredth of the size of their stored data.
    """
    per_row = max(1, int(row_bytes * MAX_ROW_FILL) // HASH_BYTES)
    hashes: list[int] = []
    async for some in in_turns(items, HASHES_PER_TURN):
        hashes.extend(item_hash(item.item_id) for item in some)
    return [
        Put(
            batch_row_key(ITEMS_TABLE, batch_id, hashes_suffix(number)),
            encoder.encode(hashes[first : first + per_row]),
        )
        for number, first in enumerate(range(0, max(1, len(hashes)), per_row))
    ]


def hashes_suffix(number: int) -> str:
    """Return the key suffix of a row of hashes."""
    return f"{HASHES_SUFFIX}.{number:04d}" if number else HASHES_SUFFIX


def decode_item_hashes(rows: Iterable[StoredRow]) -> frozenset[int]:
    """Decode the hashes of a batch's items."""
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


async def decode_results(rows: Iterable[StoredRow]) -> list[ItemResult]:
    """Decode results, in the order of their positions."""
    results: list[ItemResult] = []
    async for values in in_turns(join_values(rows), RESULTS_PER_TURN):
        results.extend(result_decoder.decode(value) for _, value in values)
    return results


def encode_partial(
    batch_id: str,
    item_id: str,
    first_event: int,
    events: Sequence[str],
    versions: Sequence[int],
    complete: bool = False,
    software_version: str | None = None,
) -> Put:
    """Return the write of further events of an unfinished item.

    `first_event` is the number of the first of these events, counted from 0. `complete`
    marks the end of the text.
    """
    return Put(
        batch_row_key(PARTIALS_TABLE, batch_id, f"{item_id}.{first_event:06d}"),
        encoder.encode(
            PartialRow(
                first_event, list(events), list(versions), complete, software_version
            )
        ),
    )


def decode_partials(rows: Iterable[StoredRow]) -> dict[str, Partial]:
    """Decode the unfinished items of a batch, up to the first gap in their events.

    Several holders may have stored events of one item. A row that does not begin where
    the preceding events end is ignored, and so is one of another software version: its
    item was restarted, and its text does not continue these events.
    """
    partials: dict[str, Partial] = {}
    for row in rows:
        item_id = row.row_key.key.partition("/")[2].rpartition(".")[0]
        stored = partial_decoder.decode(row.value)
        partial = partials.get(
            item_id, Partial(software_version=stored.software_version)
        )
        if (
            stored.first_event == len(partial.events)
            and stored.software_version == partial.software_version
        ):
            partials[item_id] = partial.extended(
                tuple(stored.events), tuple(stored.versions), stored.complete
            )
    return partials
