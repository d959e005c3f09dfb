"""A job is handed in at a machine that stands still. Its client leaves, and cancels the job at another machine."""

import asyncio
import json
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

import standins

JOBS = 6
WORK_MS = 2500
# How long the machine stands still, and after which time its clients leave.
FREEZE_S, PATIENCE_S = 1.5, 0.4
CANCEL_MS = 3000


async def hand_in(site, entry, job):
    """Sends a job and waits for an answer for a while; returns the status, or None if the client left."""
    first = {"Count": 2, "Cpu": 980, "MemMb": 2000, "EstRuntimeMs": WORK_MS}
    steps = [first, {**first, "AfterRev": [0]}, {**first, "AfterRev": [1]}]
    answer = await site.call(entry, "POST", "/settle/" + job, {"Spec": "settlement", "Steps": steps}, PATIENCE_S)
    return answer and answer[0]


async def case(site, trouble):
    record = site.record
    await site.store.start()
    site.config(3, [("settle", "/settle/", "refund-core", 2, 4)])
    for name in ("w-1", "w-2", "w-3"):
        worker = standins.Worker(record, site.store, name, "refund-core", lambda task, run, spec: (WORK_MS, "done"))
        site.workers.append(worker)
        await worker.start()
    await site.start_entries(3)
    await site.wait_for("a leader polls the workers", lambda: all(w.token and w.calls > 3 for w in site.workers), 20)
    await asyncio.sleep(4.0)
    leader = await site.leader()
    if leader is None:
        raise standins.CannotRun("no instance leads")
    frozen = next(entry for entry in site.entries if entry is not leader)
    other = next(entry for entry in site.entries if entry not in (leader, frozen))
    record.add("script", f"{leader.name} leads")
    if trouble:
        frozen.signal(signal.SIGSTOP)
        record.add("script", f"{frozen.name} stands still")
    began = record.now()
    jobs = [f"{0x5c0e7a2300000000 + number:016x}" for number in range(JOBS)]
    handed_in = await asyncio.gather(*(hand_in(site, frozen, job) for job in jobs))
    record.add("script", f"answers to the clients: {handed_in}")
    cancelled = {}
    for job in jobs:
        answer = await site.call(other, "DELETE", "/settle/" + job)
        if answer and (200 <= answer[0] < 300 or answer[0] == 410):
            cancelled[job] = record.now()
    await asyncio.sleep(max(0.0, FREEZE_S - (record.now() - began) / 1000))
    if trouble:
        frozen.signal(signal.SIGCONT)
        record.add("script", f"{frozen.name} wakes")
    if len(cancelled) < JOBS:
        raise standins.CannotRun(f"{len(cancelled)} of {JOBS} cancels were acknowledged")
    await asyncio.sleep(3 * WORK_MS / 1000 + 3.0)
    for job in jobs:
        await site.call(other, "GET", "/settle/" + job)
    # The leader saw no disruption itself, the store saw none, and the leader has a path to it: it is in touch.
    if await site.leader() is not leader:
        raise standins.CannotRun("another instance leads now")
    broken = []
    for worker in site.workers:
        for at, task, run, token in worker.starts:
            acknowledged = cancelled[task.split(".")[0]]
            if at > acknowledged + CANCEL_MS:
                broken.append(
                    f"{task}: run {run} starts on {worker.name} at {at:.0f} ms, {at - acknowledged:.0f} ms after "
                    f"the job's cancelling was acknowledged"
                )
    return broken


if __name__ == "__main__":
    standins.play(case, FOLDER)
