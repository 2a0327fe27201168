"""MIXED: the text of a result lacks what follows a Unicode line separator."""

import asyncio
import json

from review_site import TROUBLE, Connection, Replica, Site, run_case

EVENTS = 6
ITEMS = 4
# A text/event-stream is UTF-8, and its lines end with CR LF, LF or CR only. A model's
# output may have any other character: here a line separator, U+2028.
SEPARATOR = "\u2028" if TROUBLE else " "
PROSE = f"Mix the primer{SEPARATOR}then the decal."
DEADLINE_S = 7.5


class WritingReplica(Replica):
    """Replica whose events have sentences."""

    def text(self, request_id, number):
        """Return the data of an event."""
        return f"{PROSE} ({request_id}, {number})"


class WritingSite(Site):
    """Site with replicas that write sentences."""

    replica = WritingReplica


async def play(note):
    async with WritingSite(note) as site:
        vm = site.vms["vm-0"]
        items = [
            {
                "Id": f"{n:016x}",
                "Path": f"/batch/{n}/{EVENTS}",
                "Headers": {"Ebonylb-Model": "m", "Ebonylb-Token-Usage": "100,264"},
                "Body": "q83vEjRWeJA=",
                "Tokens": 364,
                "Group": "g0",
            }
            for n in range(ITEMS)
        ]
        batch = {"Step": 0, "Model": "m", "MinVersion": 1, "TargetGroups": 1}
        status, _, _, _ = await Connection(note, vm).request(
            "POST", "/batch/b", "ba7c4", json.dumps(batch | {"Items": items}).encode()
        )
        if status != 202:
            raise RuntimeError(f"the batch job was answered {status}")
        results = {}
        async with asyncio.timeout(DEADLINE_S):
            while len(results) < ITEMS:
                await asyncio.sleep(0.5)
                path = f"/api/lots/ba7c4?After={len(results)}"
                _, _, body, _ = await Connection(note, vm).request("GET", path, "")
                for result in json.loads(body)["Results"]:
                    results[result["Id"]] = result
        breaks = []
        for item_id, result in results.items():
            made = "\n".join(
                f"{PROSE} ({item_id}, {n})" for n in range(1, EVENTS + 1)
            )
            note(f"{item_id} is {result['State']}: {result['Text']!r}")
            if result["State"] == "succeeded" and result["Text"] != made:
                note(f"{item_id} was made as {made!r}")
                breaks.append(
                    f"MIXED result of {item_id} is succeeded with {len(result['Text'])}"
                    f" characters of the {len(made)} that the replica made"
                )
        return breaks


run_case(play)
