"""One small cluster for all scenarios that need a running system."""

from pathlib import Path

from ebonylb_standins.background import BackgroundCluster
from ebonylb_standins.cluster import Cluster
from ebonylb_standins.sessions.nights import CRASH_MARKER
from ebonylb_standins.sessions.script import Script, sheet_text
from ebonylb_standins.topology import ABAY, reduce_site

ROOT = Path(__file__).parents[3]


def known_red(path):
    """Return the scenarios that KNOWN-RED.txt lists, as ``FILE.feature: NAME``."""
    entries = path.read_text(encoding="utf-8").splitlines()
    tests = [entry.split("|")[0].strip() for entry in entries]
    return {test for test in tests if ".feature: " in test}


def before_scenario(context, scenario):
    """Skip scenarios in KNOWN-RED.txt; start the cluster when one needs it."""
    feature = Path(scenario.filename).resolve().relative_to(ROOT).as_posix()
    if f"{feature}: {scenario.name}" in known_red(ROOT / "KNOWN-RED.txt"):
        scenario.skip("listed in KNOWN-RED.txt")
        return
    if "cluster" not in scenario.effective_tags:
        return
    if "site" not in context:
        topology = reduce_site(ABAY)
        cluster = Cluster(
            topology,
            sheet_text(topology),
            {"crash_marker": CRASH_MARKER},
            settings={"timing": {"balancer_grace_ms": 300}},
        )
        site = BackgroundCluster(cluster)
        site.start()
        context._root["site"] = site
        context._root["script"] = Script(cluster)
        site.run(context.script.ready())
    context.cluster = context.site.cluster
    context.run = context.site.run


def after_all(context):
    """End the cluster."""
    if "site" in context:
        context.site.close()
