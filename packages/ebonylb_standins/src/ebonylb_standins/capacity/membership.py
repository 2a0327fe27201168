"""Cost of the membership service by the number of members of a failure domain.

Run it with ``python -m ebonylb_standins.capacity.membership``.
"""

import argparse
import asyncio
import json
import math
import sys

import zmq

from .gossip import measure_gossip

MEASURES = (
    "heartbeats_per_s",
    "bytes_per_heartbeat",
    "sent_bytes_per_s",
    "received_bytes_per_s",
    "sent_with_headers_bytes_per_s",
    "cpu_share",
    "memory_bytes",
)
WARM_UP_S = 10.0


async def measure_size(members: int, measure_s: float, heartbeat_ms: int) -> dict:
    """Run a failure domain of one size and return the means over its nodes.

    Raises
    ------
    RuntimeError
        A node did not see all members as live after the warm-up.
    """
    public, secret = (key.decode() for key in zmq.curve_keypair())
    nodes = {}
    try:
        for index in range(members):
            name = f"gorge-north-{index:02}"
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "ebonylb_standins.capacity.node",
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
            )
            nodes[name] = process
            plan = {
                "name": name,
                "public": public,
                "secret": secret,
                "heartbeat_ms": heartbeat_ms,
                "warm_up_s": WARM_UP_S,
                "measure_s": measure_s,
            }
            process.stdin.write(json.dumps(plan).encode() + b"\n")
        addresses = {n: (await read_reply(p))["address"] for n, p in nodes.items()}
        for process in nodes.values():
            process.stdin.write(json.dumps(addresses).encode() + b"\n")
        await asyncio.sleep(WARM_UP_S + measure_s + 2)
        for process in nodes.values():
            process.stdin.write(b"\n")
        results = [await read_reply(process) for process in nodes.values()]
    finally:
        for process in nodes.values():
            if process.returncode is None:
                process.stdin.close()
                await asyncio.wait_for(process.wait(), 30)
    if any(result["live"] != members for result in results):
        raise RuntimeError(f"not every node saw all {members} members as live")
    means = {key: sum(r[key] for r in results) / members for key in MEASURES}
    return {"members": members, **means}


async def read_reply(process: asyncio.subprocess.Process) -> dict:
    """Read and decode one line of JSON from a node."""
    line = await asyncio.wait_for(process.stdout.readline(), 120)
    return json.loads(line)


def fit_line(points: list[tuple[float, float]]) -> dict:
    """Return the least-squares line and the root mean square of its residuals."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    sum_of_squares = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / sum_of_squares
    intercept = mean_y - slope * mean_x
    squared_residuals = [(y - intercept - slope * x) ** 2 for x, y in points]
    return {
        "slope": slope,
        "intercept": intercept,
        "residual_rms": math.sqrt(sum(squared_residuals) / count),
    }


async def main() -> None:
    """Measure all sizes, then print the results as JSON and as a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--members", default="4,8,16,32")
    parser.add_argument("--seconds", type=float, default=24.0)
    parser.add_argument("--heartbeat-ms", type=int, default=500)
    options = parser.parse_args()
    rows = []
    for members in map(int, options.members.split(",")):
        rows.append(await measure_size(members, options.seconds, options.heartbeat_ms))
    fits = {}
    if len(rows) > 1:
        fits = {
            key: fit_line([(r["members"], r[key]) for r in rows]) for key in MEASURES
        }
    gossip = await measure_gossip()
    print(json.dumps({"rows": rows, "fits": fits, "gossip": gossip}, indent=1))
    print("\n| measure |" + "".join(f" {r['members']} members |" for r in rows), end="")
    print(" slope | residual |")
    print("|---|" + "---|" * (len(rows) + 2))
    for key in MEASURES:
        cells = "".join(f" {r[key]:.4g} |" for r in rows)
        line = fits.get(key, {"slope": 0.0, "residual_rms": 0.0})
        print(f"| {key} |{cells} {line['slope']:.4g} | {line['residual_rms']:.3g} |")


if __name__ == "__main__":
    asyncio.run(main())
