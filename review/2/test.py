"""More services than usual come, and most of them go again. Then one of another team comes, within its guarantee."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standin"))
from cluster import Cluster, job, main

# Teams, workers, state service and quota of ribja-borza.toml, with one of its machine types.
ZONES = ["pomol", "izola", "koper"]
FLAVORS = [{"sku": "skatla-velika", "cores": 8, "gpus": 0, "memory_gb": 32, "cache_gb": 60, "pull_gb_per_s": 0.2,
            "hourly": 0.36, "market_price": 0.12, "startup_s": 30, "berths": ZONES}]
TEAMS = [{"name": "ekipa-%02d" % n, "cpus": 16.0, "cpus_max": 48.0, "gpus": 0.0, "gpus_max": 0.0} for n in range(8)]
DEPLOYMENT = {
    "nodes": 3, "zones": ZONES, "time_bound_ms": 100.0, "teams": TEAMS,
    "workers": {"report_s": 3.0, "lease_s": 45.0, "gang_wait_s": 35.0, "gang_peer_s": 6.0, "cancel_s": 65.0},
    "state": {"rps": 200.0, "write_rps": 50.0, "value_kb": 8.0, "txn_ops": 12},
    "cloud": {"rps": 5.0, "list_lag_s": 5.0},
    "quota": {"cpu": 0.32, "mem_mb": 136.0, "fd_limit": 5000},
}
MACHINES = 6                    # all that the cloud has; 48 CPUs
USUAL = 12                      # services that come on a usual day and stay
FACTOR = 4                      # "jobs of a class come several times as often"
BOUND_S = 90.0                  # "no job is left waiting for 90 s"
WAITING = "wk-700000"


def service(job_id, crew, pieces):
    return job(job_id, crew, pieces, 1, 3.4, lot="drazba", shape="daemon", rank="prod", expect_s=0.0, spread=True)


async def scenario(trouble):
    cluster = Cluster(DEPLOYMENT, FLAVORS, {}, os.path.join(HERE, "record.txt"))
    note, now, world = cluster.history.note, cluster.history.now, cluster.world
    try:
        await cluster.prepare()
        for number in range(MACHINES):
            await cluster.cloud.boot("skatla-velika", ZONES[number % 3], False, 0.1)
        for label in cluster.labels:
            cluster.start(label)
        await cluster.wait_healthy(cluster.labels)
        known = lambda: len(world.machines) == MACHINES and all(m.helm for m in world.machines.values())
        await cluster.wait(known, 15, "registration of all machines")
        await asyncio.sleep(2)
        usual, extra = [], []
        if trouble:
            note("TROUBLE: services come %d times as often" % FACTOR)
        for number in range(USUAL * FACTOR):
            is_usual = number % FACTOR == 0
            if is_usual or trouble:
                job_id = "wk-%06d" % number
                (usual if is_usual else extra).append(job_id)
                await cluster.submit(service(job_id, "ekipa-00", 1), 0.0)
        running = lambda: len(cluster.on_machines()) == len(usual) + len(extra)
        await cluster.wait(running, 25, "start of all services")
        await asyncio.gather(*(cluster.cancel(job_id) for job_id in extra))
        await cluster.wait(lambda: len(cluster.on_machines()) == len(usual), 10, "end of the cancelled services")
        note("from here on nothing is out of order; %d services run" % len(usual))
        for worker in world.machines.values():
            note("%s in %s has %.0f of 8 CPUs free" % (worker.name, worker.berth, worker.free()[0]))
        await cluster.submit(service(WAITING, "ekipa-02", 2), 0.0)
        accepted = now()
        while now() < accepted + BOUND_S:
            await asyncio.sleep(0.25)
            if len(cluster.on_machines(WAITING)) == 2:
                note("%s runs after %.1f s" % (WAITING, now() - accepted))
                return None
        await cluster.poll(WAITING)
        fitting = [w.name for w in world.machines.values() if w.free()[0] >= 1 and w.free()[2] >= 3.4]
        text = "%s, within its team's guarantee, has waited for %.0f s; %d of %d machines have room for its tasks" % (
            WAITING, now() - accepted, len(fitting), len(world.machines))
        note(text)
        return text if fitting else None
    finally:
        cluster.stop()


main(scenario)
