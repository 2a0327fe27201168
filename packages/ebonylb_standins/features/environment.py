"""Behave hooks that run one reduced cluster for all scenarios tagged @cluster."""

from pathlib import Path

from ebonylb_standins.background import BackgroundCluster
from ebonylb_standins.cluster import Cluster
from ebonylb_standins.sessions.fault_session import CRASH_MARKER
from ebonylb_standins.sessions.script import Script, sheet_text
from ebonylb_standins.topology import ABAY, reduce_site

REPOSITORY_ROOT = Path(__file__).parents[3]


def read_known_red_scenarios(path):
    """Return the scenarios that KNOWN-RED.txt lists, as ``FILE.feature: NAME``."""
    entries = path.read_text(encoding="utf-8").splitlines()
    tests = [entry.split("|")[0].strip() for entry in entries]
    return {test for test in tests if ".feature: " in test}


def before_scenario(context, scenario):
    """Skip scenarios in KNOWN-RED.txt; start the cluster for the first @cluster one."""
    feature = Path(scenario.filename).resolve().relative_to(REPOSITORY_ROOT).as_posix()
    if f"{feature}: {scenario.name}" in read_known_red_scenarios(
        REPOSITORY_ROOT / "KNOWN-RED.txt"
    ):
        scenario.skip("listed in KNOWN-RED.txt")
        return
    if "cluster" not in scenario.effective_tags:
        return
    if "background_cluster" not in context:
        topology = reduce_site(ABAY)
        cluster = Cluster(
            topology,
            sheet_text(topology),
            {"crash_marker": CRASH_MARKER},
            settings={"timing": {"balancer_grace_ms": 300}},
        )
        background_cluster = BackgroundCluster(cluster)
        background_cluster.start()
        context._root["background_cluster"] = background_cluster
        context._root["script"] = Script(cluster)
        background_cluster.run(context.script.wait_ready())
    context.cluster = context.background_cluster.cluster
    context.run = context.background_cluster.run


def after_all(context):
    """End the cluster if it was started."""
    if "background_cluster" in context:
        context.background_cluster.close()
