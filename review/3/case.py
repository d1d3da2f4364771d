import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
import sim

SETTINGS = """
[settings]
count = 3
zones = ["city-hall-room", "transit-depot"]
clock_error_ms = 250.0
[[settings.teams]]
name = "fleet-ops"
cpus = 88.0
cpus_max = 168.0
gpus = 0.0
gpus_max = 0.0
[[settings.teams]]
name = "rider-billing"
cpus = 40.0
cpus_max = 144.0
gpus = 0.0
gpus_max = 0.0
[settings.workers]
report_s = 3.0
lease_s = 19.0
cancel_s = 49.0
[settings.state]
rps = 200.0
write_rps = 40.0
value_kb = 32.0
txn_ops = 24
[settings.cloud]
rps = 8.0
list_lag_s = 6.0
[settings.resources]
cpu = 0.048
memory_mb = 104.0
max_sockets = 1800
"""
FRAMES = [{"label": "depot-rack", "vcpus": 32, "gpus": 0, "ramGb": 64, "localGb": 100, "fetchGbPerS": 1.0,
           "price": 1.81, "marketPrice": 0.81, "bootS": 35, "yards": ["city-hall-room", "transit-depot"]}]
# A pipeline: nine stages of sixty equal jobs of 10 s, then sixteen stages of two jobs, a short one and one whose
# estimate is twice that of the stage before (from 0.1 s to 55 minutes), then the last job. Each job needs all jobs
# of the stage before.
STAGES = [[10.0] * 60 for _ in range(9)] + [[0.1 * 2 ** stage, 0.1] for stage in range(16)]
UNANSWERED_S = 75.0  # LATER (when troubles meet): "no question is answered for 75 s counts as forgotten"


async def case(record, trouble):
    jobs = {}
    store = sim.Store(record, 200.0, 40.0, 32.0, 24)
    state_server, state = await sim.serve(store.handle)
    expiry = asyncio.ensure_future(store.expire())
    cloud = sim.Cloud(record, FRAMES, {}, 8.0, None)
    cloud_server, cloud_at = await sim.serve(cloud.handle)
    controllers = sim.Controllers(record, SETTINGS, state, cloud_at, ["city-hall-room", "transit-depot"])
    users = sim.Users(record, controllers, jobs)
    number = 100000

    def name():
        nonlocal number
        number += 1
        return "wk-%06d" % number

    try:
        for host in controllers.hosts:
            await controllers.start(host)
        for host in controllers.hosts:
            if not await controllers.ready(host):
                return 2
        other = "wk-000412"  # A job that has nothing to do with the pipeline.
        answer = await users.submit(sim.new_job(other, "rider-billing"))
        if not answer or answer[0] != 201:
            return 2
        before = []
        for estimates in STAGES:
            stage = [sim.new_job(name(), "fleet-ops", rideS=estimate, awaits=list(before)) for estimate in estimates]
            answers = await asyncio.gather(*[users.submit(job) for job in stage])
            if any(answer is None or answer[0] not in (200, 201) for answer in answers):
                return 2
            before = [job["ref"] for job in stage]
        asked = [other, before[0]]
        for ref in asked:
            answer = await users.poll(ref)
            if answer is None or answer[0] != 200:
                return 2
        record.say("%d jobs accepted after %.1f s" % (len(jobs), sim.now() - sim.START))
        last = sim.new_job(name(), "fleet-ops", urgency="urgent", rideS=8.0, awaits=before, dueS=6000.0 if trouble else None)
        submission = asyncio.ensure_future(users.submit(last, 20.0))
        await asyncio.sleep(1.0)
        began = sim.now()
        answered = {ref: began for ref in asked}
        while sim.now() - began < UNANSWERED_S + 5.0:
            for ref in asked:
                answer = await users.poll(ref)
                if answer and answer[0] in (200, 404):
                    answered[ref] = sim.now()
                if sim.now() - answered[ref] > UNANSWERED_S:
                    record.say("no question about %s was answered for %.1f s" % (ref, sim.now() - answered[ref]))
                    return 1
            # Nothing of the rule can be broken any more in the time that is left.
            if sim.now() - began > 30.0 and min(answered.values()) > began + 20.0:
                break
            await asyncio.sleep(2.0)
        record.say("questions were answered, the last ones %s s ago" % ["%.1f" % (sim.now() - at) for at in answered.values()])
        submission.cancel()
        return 0
    finally:
        await controllers.stop()
        expiry.cancel()


sim.main(case)
