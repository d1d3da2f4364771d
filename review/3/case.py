import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
import sim

SETTINGS = """
[settings]
count = 3
zones = ["brest-vault", "lannion-hall", "rennes-annex"]
clock_error_ms = 250.0
[[settings.teams]]
name = "examen-desk-00"
cpus = 24.0
cpus_max = 48.0
gpus = 0.0
gpus_max = 0.0
[[settings.teams]]
name = "translation-lab"
cpus = 0.0
cpus_max = 0.0
gpus = 0.0
gpus_max = 0.0
[settings.workers]
report_s = 2.0
lease_s = 12.0
cancel_s = 37.0
[settings.state]
rps = 150.0
write_rps = 25.0
value_kb = 4.0
txn_ops = 12
[settings.cloud]
rps = 6.0
list_lag_s = 3.0
[settings.resources]
cpu = 0.12
memory_mb = 72.0
max_sockets = 1500
"""
FRAMES = [{"label": "dolmen-large", "vcpus": 64, "gpus": 0, "ramGb": 512, "localGb": 100, "fetchGbPerS": 1.0,
           "price": 2.84, "marketPrice": 1.08, "bootS": 3, "yards": ["lannion-hall"]}]
KIND = ("dolmen-large", "lannion-hall", False)
VICTIM, GUEST = "wk-000412", "wk-000777"


async def case(record, trouble):
    jobs, results, workers = {}, set(), []
    store = sim.Store(record, 150.0, 25.0, 4.0, 12)
    state_server, state = await sim.serve(store.handle)
    expiry = asyncio.ensure_future(store.expire())

    def new_worker(machine):
        worker = sim.Worker(record, machine, (64.0, 512.0), controllers.public, (2.0, 12.0), jobs, results)
        workers.append(worker)
        return worker

    cloud = sim.Cloud(record, FRAMES, {KIND: 1}, 6.0, new_worker)
    cloud_server, cloud_at = await sim.serve(cloud.handle)
    controllers = sim.Controllers(record, SETTINGS, state, cloud_at, ["lannion-hall", "rennes-annex", "brest-vault"])
    users = sim.Users(record, controllers, jobs)
    try:
        for host in controllers.hosts:
            await controllers.start(host)
        cloud.add(*KIND, 0.5)
        for host in controllers.hosts:
            if not await controllers.ready(host):
                return 2
        # One ordinary job of a guaranteed team: one task of 30 s.
        answer = await users.submit(sim.new_job(VICTIM, "examen-desk-00", rideS=30.0, _run_s=30.0))
        if not answer or answer[0] != 201:
            return 2
        submitted = sim.now()
        for _ in range(100):
            if any(leg.startswith(VICTIM) for worker in workers for _, leg, _ in worker.starts):
                break
            await asyncio.sleep(0.1)
        else:
            return 2
        # A guest team sends one job of many tiny tasks.
        if trouble:
            await users.submit(sim.new_job(GUEST, "translation-lab", legs=1400, vcpus=0.04, ramGb=0.1, urgency="best_effort",
                                           rideS=40.0, _run_s=40.0))
        done_after = None
        while sim.now() - submitted < 90.0:
            await asyncio.sleep(2.0)
            answer = await users.poll(VICTIM)
            if answer and answer[0] == 200 and answer[1]["status"] == "done":
                done_after = sim.now() - submitted
                break
        kills = [ran for worker in workers for _, leg, _, ran in worker.kills if leg.startswith(VICTIM)]
        for worker in workers:
            record.say(worker.name, "answers to reports", worker.answers, "largest report", worker.largest_report,
                       "longest answer", worker.longest_line, "sessions", worker.shift)
        record.say("the job's task was killed %d times, after running %s s" % (len(kills), ["%.1f" % ran for ran in kills]))
        record.say("job done after", done_after)
        if done_after is not None:
            return 0
        return 1 if len(kills) >= 3 else 2
    finally:
        await controllers.stop()
        for machine in cloud.machines.values():
            machine["task"].cancel()
        expiry.cancel()


sim.main(case)
