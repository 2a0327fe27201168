"""Checker of the users' rule ORDER for software versions, over all entry VMs.

No text of an item and no stream, over all tries of its caller, holds events of servers
of two software versions. The users' rule allows two such streams in a day.

``python -m ebonylb_standins.site.order_rule LOG`` checks the log lines of a run.
"""

import json
import sys
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

MAX_MIXED_STREAMS = 2


@dataclass(frozen=True, slots=True)
class StreamPart:
    """Part of a stream that came from servers of some software versions.

    Parameters
    ----------
    stream : str
        Text of an item, or id of the caller's request that brought the first event.
    """

    stream: str
    software_versions: tuple[str, ...]


def find_mixed_streams(parts: Iterable[StreamPart]) -> dict[str, set[str]]:
    """Return the streams with events of several software versions, and these."""
    versions_by_stream = defaultdict(set)
    for part in parts:
        versions_by_stream[part.stream].update(part.software_versions)
    return {
        stream: versions
        for stream, versions in versions_by_stream.items()
        if len(versions) > 1
    }


def read_log(lines: Iterable[str]) -> Iterator[StreamPart]:
    """Read the parts of streams from lines that end with a log record."""
    for line in lines:
        _, brace, rest = line.partition("{")
        try:
            record = json.loads(brace + rest)
        except ValueError:
            continue
        versions = tuple(record.get("software_versions") or ())
        if record.get("message") == "item ended":
            # A trainer may ask for the same item in a later step: a text of its own.
            text = (record["item"], record["batch"], record["entry_vm"])
            yield StreamPart("/".join(text), versions)
        elif record.get("message") == "stream ended":
            yield StreamPart(record["resumes"] or record["request_id"], versions)


def main() -> None:
    """Print how many streams of a log are mixed; fail if the rule is broken."""
    with open(sys.argv[1], encoding="utf-8", errors="replace") as log:
        parts = list(read_log(log))
    mixed = find_mixed_streams(parts)
    is_broken = len(mixed) > MAX_MIXED_STREAMS
    kinds = Counter("+".join(sorted(versions)) for versions in mixed.values())
    print(
        f"{len({part.stream for part in parts})} streams, {len(mixed)} of several "
        f"software versions {dict(kinds)}{', ORDER BROKEN' if is_broken else ''}"
    )
    sys.exit(is_broken)


if __name__ == "__main__":
    main()
