import asyncio
import os
import signal
import subprocess
import sys

import aiohttp
import pytest

from ebonylb.settings import load_settings
from ebonylb_standins.cluster import Cluster
from ebonylb_standins.processes import PortLease
from ebonylb_standins.topology import ABAY, SONG_HUONG, reduce_site

# Clusters run one after another, as concurrent ones starve each other of CPU time.
pytestmark = pytest.mark.xdist_group("cluster")

OWNER = """
import asyncio
from ebonylb_standins.cluster import Cluster
from ebonylb_standins.topology import ABAY, reduce_site

async def main():
    async with Cluster(reduce_site(ABAY), with_entry_vms=False) as cluster:
        processes = cluster.processes.values()
        print(*(p.process.pid for p in processes), flush=True)
        cluster.freeze("booking-desk-gorge-north-1")
        await asyncio.Event().wait()

asyncio.run(main())
"""


def run(scenario):
    return asyncio.run(asyncio.wait_for(scenario, 60))


def is_alive(pid):
    """Return whether a process exists and is not a zombie."""
    try:
        with open(f"/proc/{pid}/stat") as stat:
            return stat.read().rsplit(")", 1)[1].split()[0] != "Z"
    except FileNotFoundError:
        return False


class TestTopology:
    @pytest.mark.parametrize("site", [ABAY, SONG_HUONG])
    def test_sites_have_the_sizes_of_the_design(self, site):
        """Guards against sites of other sizes than the design assumes."""
        assert 9 <= len(site.entry_vms) <= 11
        assert (len(site.engines), len(site.plain_services)) == (5, 3)
        assert len(site.regions) == 3 and len(set(site.regions.values())) == 2

    def test_small_site_keeps_two_failure_domains(self):
        """Guards against a reduced site without traffic between failure domains."""
        site = reduce_site(ABAY)
        assert {vm.failure_domain for vm in site.entry_vms} == set(site.regions)
        assert {vm.failure_domain for vm in site.engines} == set(site.regions)


class TestCluster:
    def test_kill_restart_freeze_and_list(self):
        """Guards against faults that do not reach the process or the VM list."""
        name = "kiln-lm-gorge-north-1"

        async def scenario():
            async with Cluster(reduce_site(ABAY), with_entry_vms=False) as cluster:
                _, before = await cluster.send_request("platform", "GET", "/vms")
                cluster.kill(name)
                assert await cluster.wait_exit(name) == -signal.SIGKILL
                await cluster.restart(name)
                await cluster.register_vm("kiln-lm-gorge-south-1", "leaving")
                _, after = await cluster.send_request("platform", "GET", "/vms")
                cluster.freeze(name)
                with pytest.raises(TimeoutError):
                    async with asyncio.timeout(0.3):
                        await cluster.counters(name)
                cluster.resume(name)
                assert "requests" in await cluster.counters("platform")
                with pytest.raises(ValueError, match="slow"):
                    await cluster.control(name, slow=1)
                return before["entries"], after["entries"]

        before, after = run(scenario())
        first, second = ({vm["name"]: vm for vm in vms} for vms in (before, after))
        assert len(first) == len(second) == 4
        assert first[name]["incarnation"] != second[name]["incarnation"]
        assert first[name]["address"] == second[name]["address"]
        assert second["kiln-lm-gorge-south-1"]["state"] == "leaving"

    def test_leaving_the_context_ends_all_processes(self):
        """Guards against processes that accumulate over a test run."""

        async def scenario():
            async with Cluster(reduce_site(ABAY), with_entry_vms=False) as cluster:
                cluster.freeze("kiln-lm-gorge-north-1")
            return cluster

        cluster = run(scenario())
        assert len(cluster.processes) == 5
        assert not any(process.is_running for process in cluster.processes.values())
        assert not cluster.folder.exists()

    def test_cut_domain_reaches_only_its_own_servers(self):
        """Guards against cut failure domains that requests still reach."""
        north, south = "kiln-lm-gorge-north-1", "kiln-lm-gorge-south-1"

        async def can_reach(cluster, domain, name, path):
            headers = {"X-Failure-Domain": domain}
            try:
                url = cluster.url(name) + path
                async with cluster.http.get(url, headers=headers) as response:
                    return response.status == 200
            except aiohttp.ClientError:
                return False

        async def read_reachability(cluster):
            targets = [("platform", "/vms"), (north, "/status"), (south, "/status")]
            return [
                [await can_reach(cluster, domain, *target) for target in targets]
                for domain in ("gorge-north", "gorge-south")
            ]

        async def scenario():
            async with Cluster(reduce_site(ABAY), with_entry_vms=False) as cluster:
                await cluster.cut_off_domains("gorge-north")
                during = await read_reachability(cluster)
                await cluster.cut_off_domains()
                return during, await read_reachability(cluster)

        during, after = run(scenario())
        assert during == [[False, True, False], [True, False, True]]
        assert after == [[True] * 3] * 2

    def test_settings_files_are_valid(self, tmp_path):
        """Guards against generated settings that an entry VM refuses."""
        cluster = Cluster(reduce_site(ABAY), settings={"timing": {"heartbeat_ms": 100}})
        cluster.addresses["platform"] = "127.0.0.1:1"
        for spec in cluster.topology.entry_vms:
            cluster.addresses[spec.name] = "127.0.0.1:2"
            cluster.peer_addresses[spec.name] = "127.0.0.1:3"
        path = tmp_path / "settings.jsonc"
        path.write_text(cluster.settings_text(cluster.topology.entry_vms[0]))
        settings = load_settings(str(path)).ok_value
        assert settings.timing.heartbeat_ms == 100
        assert len(settings.peers) == 2

    @pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGKILL])
    def test_no_process_outlives_its_owner(self, number, tmp_path):
        """Guards against leftover processes after Ctrl-C or a killed test run."""
        owner = subprocess.Popen(
            [sys.executable, "-c", OWNER],
            stdout=subprocess.PIPE,
            text=True,
            env={**os.environ, "TMPDIR": str(tmp_path)},
        )
        pids = [int(pid) for pid in owner.stdout.readline().split()]
        assert len(pids) == 5
        owner.send_signal(number)
        owner.wait(20)

        async def all_ended():
            cluster = Cluster(reduce_site(ABAY))
            await cluster.until(lambda: not any(map(is_alive, pids)), 5_000, "end")

        run(all_ended())

    def test_ended_process_is_reported_with_its_log(self):
        """Guards against waiting for the whole timeout after a process has failed."""

        async def scenario():
            options = {"no_such_option": 1}
            async with Cluster(
                reduce_site(ABAY), plain_options=options, with_entry_vms=False
            ):
                pass

        with pytest.raises(RuntimeError, match="no-such-option"):
            run(scenario())


class TestPortLease:
    def test_ports_are_leased_once(self):
        """Guards against the same port being given to two processes."""
        leases = [PortLease() for _ in range(50)]
        assert len({lease.port for lease in leases}) == 50
        for lease in leases:
            lease.close()
