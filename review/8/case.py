"""Tasks that had just begun on workers that crash wait in single file, while the other workers stand idle."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-2"))
import small_site  # noqa: E402

WORKERS = 16
JOBS_PER_S = 60
TRAFFIC_S = 14
CRASHES_AT_S = [9, 10, 11, 12, 13]
# Bounds of the pages: `finish_s` after the end of the traffic, nothing of the job running for 3 s.
FINISH_S = 14
IDLE_S = 3


async def scenario(site, trouble):
    await site.begin(workers=WORKERS, instances=3, routes=[site.route("q0", "/q0/", 0, 3)])
    await asyncio.sleep(2)
    accepted = set()

    async def submit(number):
        step = {"Count": 2, "Cpu": 1000, "MemMb": 100, "EstRuntimeMs": 400}
        instance = site.instances[number % len(site.instances)]
        job = f"{number:016x}"
        status, _ = await site.request(instance, "POST", f"/q0/{job}", {"Spec": "work_ms=400", "Steps": [step]})
        if status == 200:
            accepted.add(job)

    async def crash_workers(begun):
        for at in CRASHES_AT_S:
            await asyncio.sleep(max(0, begun + at - time.monotonic()))
            up = [worker for worker in site.workers if worker.up]
            worker = max(up, key=lambda worker: len(worker.running))
            site.note("crash", worker=worker.id, tasks=len(worker.running))
            worker.crash()

    begun = time.monotonic()
    crashes = asyncio.create_task(crash_workers(begun)) if trouble else None
    sent = []
    for number in range(1, JOBS_PER_S * TRAFFIC_S + 1):
        sent.append(asyncio.create_task(submit(number)))
        await asyncio.sleep(max(0, begun + number / JOBS_PER_S - time.monotonic()))
    await asyncio.gather(*sent)
    if crashes:
        await crashes
    await asyncio.sleep(FINISH_S)
    before = time.monotonic() - site.begun
    await asyncio.sleep(IDLE_S)
    # A job is idle if none of its tasks ran at any time of the last 3 s and one has not ended done.
    done, ran = {}, set()
    for at, what, fields in site.events:
        job = fields.get("task", "").split(".")[0]
        if what == "end" and fields["how"] == "done":
            done.setdefault(job, set()).add(fields["task"])
        if what in ("start", "end", "died") and at >= before:
            ran.add(job)
    for worker in site.workers:
        ran |= {task.split(".")[0] for task in worker.running}
    idle = sorted(job for job in accepted if len(done.get(job, ())) < 2 and job not in ran)
    for job in idle[:3]:
        await site.request(site.instances[0], "GET", f"/q0/{job}")
    up = sum(worker.up for worker in site.workers)
    busy = sum(len(worker.running) for worker in site.workers)
    site.note("checked", accepted=len(accepted), idle_jobs=len(idle), workers_up=up, tasks_running=busy)
    return not idle


small_site.run(scenario)
