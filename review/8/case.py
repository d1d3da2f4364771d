"""A job that fits no machine any more keeps its whole team from starting anything."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))
from stand import CannotRun, World, now, run_case  # noqa: E402

WAIT_S = 90.0
# "273 at the start" on the page of the trouble, "85 at the start" on an earlier one, for appeal-recheck.
JOBS = 85
TEAM_MOST = 48.0
SMALL = 8


async def main(record, trouble):
    w = World(record, capacity={})
    await w.start()
    try:
        large = w.cloud.add("large", "north", False, up=True)
        for i in range(SMALL):
            w.cloud.add("small", w.zones[i % 2], False, up=True)
        await w.ready()
        if trouble:
            # The machine stops with all that is on it, and the cloud has no other of its type.
            record.write(f"{large} stops")
            w.cloud.take(large)
        # Fits the team's limit, and the large machine. Without the trouble it is soon done.
        wide = w.job(legs=1, vcpus=40.0, urgency="urgent", run_s=1.0)
        await w.submit(wide)
        if trouble:
            await asyncio.sleep(4.0)
        elif not await w.wait_for(lambda: w.rules.done.get(wide["ref"]), 10):
            raise CannotRun("the wide job was not done")
        # Runs until the end, on small machines, and leaves 20 of their 32 CPUs free.
        long = w.job(legs=6, vcpus=2.0, run_s=150.0, frames=["small"])
        await w.submit(long)
        if not await w.wait_for(lambda: len(w.running(long["ref"])) == 6, 12):
            raise CannotRun("the long job did not start")
        if not trouble and "done" != await w.poll(wide["ref"]):
            await asyncio.sleep(2.0)
        jobs = [w.job(legs=1, run_s=3.0, frames=["small"]) for _ in range(JOBS)]
        accepted_at = {}

        async def submit(job):
            await w.submit(job)
            accepted_at[job["ref"]] = now()

        await asyncio.gather(*[submit(j) for j in jobs])
        if len(accepted_at) < JOBS or max(accepted_at.values()) > 17.0:
            raise CannotRun("the jobs were not accepted in time")
        started, logged = {}, 0.0
        while now() < 109.0 and len(started) < JOBS:
            for job in jobs:
                ref = job["ref"]
                if ref not in started and (w.running(ref) or w.rules.done.get(ref)):
                    started[ref] = now()
            if now() > logged + 5.0:
                logged = now()
                record.write(f"{len(started)} of {JOBS} jobs began, {w.running(wide['ref'])} wide")
            await asyncio.sleep(0.1)
        waits = {r: started.get(r, now()) - at for r, at in accepted_at.items()}
        late = [r for r, wait in waits.items() if wait > WAIT_S]
        # 12 CPUs of the long job and few others: the team was under its limit, small machines had room.
        room = sum(m.cpus - m.used()[0] for m in w.workers.values() if m.frame == "small")
        used = sum(w.rules.jobs[w.rules.job_of(leg)]["vcpus"] for leg in w.rules.present)
        record.write(f"longest wait {max(waits.values()):.1f} s, {len(late)} jobs over {WAIT_S} s; at the end "
                     f"{room} CPUs of small machines are free, the team uses {used} of {TEAM_MOST}")
        if late and room >= 1.0 and used + 1.0 <= TEAM_MOST:
            w.rules.broke("left_waiting", f"{len(late)} jobs waited over {WAIT_S} s, up to "
                          f"{max(waits.values()):.1f} s")
        return w.rules.broken
    finally:
        await w.stop()


run_case(main, HERE)
