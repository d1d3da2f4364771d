"""Two jobs with a mistake fail on a sound machine; after they are cancelled it is given nothing more."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))
from stand import FRAMES, CannotRun, World, now, run_case  # noqa: E402

ZONES = ("north", "south", "east")
TYPES = [dict(frame, yards=list(ZONES)) for frame in FRAMES]
WAIT_S = 90.0
# 2 jobs of 50 have the mistake: the site file's share of 0.04.
SOUND = 44


async def main(record, trouble):
    # One ordinary machine in each zone and no more to be had, as in the users' first deployment.
    w = World(record, zones=ZONES, frames=TYPES, capacity={})
    await w.start()
    try:
        for zone in ZONES:
            w.cloud.add("small", zone, False, up=True)
        await w.ready()

        def job(**fields):
            return w.job(loaners=False, frames=["small"], ramGb=0.5, **fields)

        # A long task on each machine leaves one CPU of each free.
        for zone in ZONES:
            await w.submit(job(legs=1, vcpus=3.0, run_s=150.0, yard=zone))
        if not await w.wait_for(lambda: len(w.running()) == 3, 20):
            raise CannotRun("the long tasks did not start")
        sound = [job(legs=1, vcpus=0.1, run_s=0.3) for _ in range(SOUND)]
        await asyncio.gather(*[w.submit(j) for j in sound])
        await w.wait_for(lambda: all(j["ref"] in w.rules.done for j in sound), 10)
        wrong = [job(legs=4, vcpus=0.1, run_s=0.3, crew="red", yard="north") for _ in range(2)]
        for j in wrong:
            if trouble:
                w.mistaken.add(j["ref"])
            await w.submit(j)
        if trouble:
            await w.wait_for(lambda: all(w.failed.get(j["ref"]) for j in wrong), 10)
        await asyncio.sleep(2.0)
        for j in wrong:
            await w.cancel(j["ref"])
        if now() > 19.0:
            raise CannotRun("no time is left to wait")

        machine = next(m for m in w.workers.values() if m.zone == "north")
        waiting = job(legs=1, vcpus=0.5, run_s=1.0, yard="north")
        if await w.submit(waiting) not in (200, 201):
            raise CannotRun("the job was not accepted")
        began, polled = now(), 0.0
        while now() < began + WAIT_S and not w.rules.done.get(waiting["ref"]):
            cpus, ram = machine.used()
            if any(key[0].startswith(waiting["ref"]) for key in machine.legs):
                # It has been launched there.
                await asyncio.sleep(0.2)
                continue
            if machine.gone or cpus + 0.5 > machine.cpus or ram + 0.5 > machine.ram:
                raise CannotRun("the machine has no room any more")
            if now() > polled + 5.0:
                polled = now()
                await w.poll(waiting["ref"])
                record.write(f"{machine.name}: {cpus} of {machine.cpus} CPUs in use, answers {machine.statuses}, "
                             f"session {machine.shift}")
            await asyncio.sleep(0.2)
        if not w.rules.done.get(waiting["ref"]) and not w.running(waiting["ref"]):
            w.rules.broke("left_waiting", f"{waiting['ref']} has waited {now() - began:.1f} s while {machine.name}, "
                          "which fits, had room, and its team used 9.5 of 48 CPUs at most")
        return w.rules.broken
    finally:
        await w.stop()


run_case(main, HERE)
