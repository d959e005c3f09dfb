"""A worker that is cut off for a moment has more than 500 ends to tell when it is reached again."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

import standins

# Jobs and tasks of each; all fit on one worker of 16 cores.
JOBS, TASKS = 12, 60
WORK_MS = 4000
# The cut ends when so many ends wait, or after this time.
ENOUGH_ENDS, LONGEST_CUT_S = 700, 2.5


async def case(site, trouble):
    record = site.record
    await site.store.start()
    site.config(3, [("settle", "/settle/", "refund-core", 2, 4)])
    for name in ("w-1", "w-2"):
        worker = standins.Worker(record, site.store, name, "refund-core", lambda task, run, spec: (WORK_MS, "done"))
        site.workers.append(worker)
        await worker.start()
    await site.start_entries(3)
    await site.wait_for("a leader polls the workers", lambda: all(w.token and w.calls > 3 for w in site.workers), 20)
    jobs = [f"{0x5c0e7a2100000000 + number:016x}" for number in range(JOBS)]
    step = {"Count": TASKS, "Cpu": 20, "MemMb": 64, "EstRuntimeMs": WORK_MS}
    accepted = await asyncio.gather(*(site.submit("/settle/", job, "settlement", [step]) for job in jobs))
    if not all(accepted):
        raise standins.CannotRun("a job was not accepted")
    total = JOBS * TASKS
    starts = lambda: sum(len(worker.starts) for worker in site.workers)
    await site.wait_for("all tasks have started", lambda: starts() >= total, 20)
    worker = max(site.workers, key=lambda worker: len(worker.starts))
    record.add("script", f"{starts()} starts, {len(worker.starts)} of them on {worker.name}")
    await site.wait_for("the first tasks end", lambda: len(worker.finished) >= 5, 20)
    if trouble:
        worker.set_cut(True)
        loop = asyncio.get_running_loop()
        until = loop.time() + LONGEST_CUT_S
        while len(worker.ends) < ENOUGH_ENDS and loop.time() < until:
            await asyncio.sleep(0.01)
        worker.set_cut(False)
        if len(worker.ends) <= standins.ENDS_AT_ONCE:
            raise standins.CannotRun(f"only {len(worker.ends)} ends waited")

    async def all_succeeded():
        for job in jobs:
            answer = await site.call(site.entries[0], "GET", "/settle/" + job)
            if not answer or answer[0] != 200 or answer[1].get("State") != "succeeded":
                await asyncio.sleep(0.2)
                return False
        return True

    await site.wait_for("all jobs have succeeded", all_succeeded, 40)
    await asyncio.sleep(1.0)
    return standins.broken_twice(site.workers)


if __name__ == "__main__":
    standins.play(case, FOLDER)
