"""Schedule of faults drawn from a seed."""

import random
from dataclasses import dataclass

FAULTS = (
    "kill_entry",
    "kill_engine",
    "freeze_entry",
    "freeze_engine",
    "cut_peers",
    "cut_platform",
    "platform_down",
    "platform_slow",
    "lost_answers",
    "lagging_reads",
    "failed_swaps",
    "truncated_streams",
    "dropped_answers",
    "leave_one",
    "leave_two",
    "drain_list",
    "drain_operator",
    "crash_request",
)
# Only one fault of a set is active at a time: they change the same setting of one
# stand-in, or one stops a process that another one needs.
EXCLUSIVE_FAULTS = (
    {"platform_down", "platform_slow", "lost_answers", "lagging_reads"},
    {"cut_platform", "platform_down"},
    {"kill_entry", "freeze_entry", "leave_one", "leave_two"},
    {"kill_engine", "freeze_engine", "drain_list", "drain_operator", "crash_request"},
)
MIN_DURATION_S, MAX_DURATION_S = 1.0, 4.0  # duration of a fault
# Past the heartbeat limit (1.5 s) and the stall limit (2 s).
FREEZE_DURATION_S = (2.5, 6.0)
FIRST_FAULT_S = 1.5  # load without faults before the first fault
PAUSE_RANGE_S = (0.3, 1.5)


@dataclass(frozen=True)
class PlannedFault:
    """One planned fault.

    Parameters
    ----------
    start_s, duration_s : float
        Start, from the start of the load on, and duration.
    fault : str
        One of `FAULTS`.
    random_number : int
        Determines the target and variant of the fault.
    """

    start_s: float
    duration_s: float
    fault: str
    random_number: int

    def __str__(self) -> str:
        return f"{self.fault}@{self.start_s:.1f}s+{self.duration_s:.1f}s"


def draw_plan(
    seed: int, load_s: float, allowed: tuple[str, ...] = FAULTS
) -> list[PlannedFault]:
    """Return the faults of a seed: single, overlapping and repeated ones.

    The seed selects the first fault in turn, so that as many consecutive seeds as
    there are allowed faults cover all of them.
    """
    generator = random.Random(f"plan {seed}")
    plan: list[PlannedFault] = []
    start_s, fault_index = FIRST_FAULT_S, seed % len(allowed)
    while start_s < load_s - MIN_DURATION_S:
        fault = generator.choice(allowed) if plan else allowed[fault_index]
        pattern = generator.choice(("single", "together", "together", "twice"))
        group = [fault]
        if pattern == "twice":
            group = [fault, fault]
        while pattern == "together" and len(group) < 3 and generator.random() < 0.8:
            other = generator.choice(allowed)
            if not any(are_exclusive(other, chosen) for chosen in group):
                group.append(other)
        end_s = at_s = start_s
        for member in group:
            duration_s = generator.uniform(
                *(
                    FREEZE_DURATION_S
                    if member.startswith("freeze")
                    else (MIN_DURATION_S, MAX_DURATION_S)
                )
            )
            plan.append(
                PlannedFault(at_s, duration_s, member, generator.randrange(1_000_000))
            )
            end_s = max(end_s, at_s + duration_s)
            at_s = (
                end_s + 0.2 if pattern == "twice" else at_s + generator.uniform(0, 0.5)
            )
        start_s = end_s + generator.uniform(*PAUSE_RANGE_S)
    return plan


def are_exclusive(first: str, second: str) -> bool:
    """Return whether two faults must not be active at the same time."""
    return first == second or any(
        {first, second} <= group for group in EXCLUSIVE_FAULTS
    )
