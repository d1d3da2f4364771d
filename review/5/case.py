"""A machine full of small tasks: its reports grow past what a request may be."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))
from stand import CannotRun, World, now, run_case  # noqa: E402

KIB_64 = 64 * 1024
# Within "at most 100,000"; without the trouble, Kerlouan's largest arrays.
MANY, USUAL = 1500, 700
RUN_S = 20.0
WATCH_S = 80.0


async def main(record, trouble):
    w = World(record, capacity={})
    await w.start()
    try:
        w.cloud.add("large", "north", False, up=True)
        await w.ready()
        (machine,) = w.workers.values()
        ordinary = w.job(crew="red", legs=4, run_s=40.0)
        await w.submit(ordinary)
        if not await w.wait_for(lambda: len(w.running(ordinary["ref"])) == 4, 20):
            raise CannotRun("the ordinary job did not start")
        small = w.job(legs=MANY if trouble else USUAL, vcpus=0.03, ramGb=0.1, run_s=RUN_S)
        if await w.submit(small) not in (200, 201):
            raise CannotRun("the job of small tasks was not accepted")
        began = now()
        while now() < began + WATCH_S:
            await asyncio.sleep(2.0)
            done = len(w.rules.done.get(small["ref"], ()))
            record.write(f"{len(w.running(small['ref']))} small tasks run, {done} done; session {machine.shift}, "
                         f"answers {machine.statuses}, longest report {machine.longest_report}, "
                         f"longest answer {machine.longest_ack}")
            if done == small["legs"] and len(w.rules.done.get(ordinary["ref"], ())) == ordinary["legs"]:
                break
        done = len(w.rules.done.get(small["ref"], ()))
        kept = len(w.rules.done.get(ordinary["ref"], ()))
        await w.poll(small["ref"])
        await w.poll(ordinary["ref"])
        if machine.longest_ack > KIB_64:
            w.rules.broke("long_line", f"a line of {machine.longest_ack} bytes in an answer to a worker")
        if done == 0:
            w.rules.broke("not_run", f"{now() - began:.0f} s after it was accepted no task of {small['ref']} has "
                          f"been completed; its worker had {machine.shift} sessions, "
                          f"{machine.unsent} reports were too long to be sent")
        if kept == 0:
            w.rules.broke("not_run", f"no task of {ordinary['ref']}, which ran there before, has been completed")
        return w.rules.broken
    finally:
        await w.stop()


run_case(main, HERE)
