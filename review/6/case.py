"""The store forgets its history while jobs are being accepted."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from fleet2 import CannotRun, in_parallel, main  # noqa: E402

# The rows of earlier jobs stay for status_s. Ten jobs a second, as on the sheet
# of gvp-serving-large, leave some 1,200 of them; they are sent faster here.
EARLIER_JOBS_S = 30.0
EARLIER_JOBS_PER_S = 40
# Then jobs come in bursts, and in each of them the store forgets its history.
BURSTS = 20
BURST_PERIOD_S = 1.5
JOBS_OF_BURST = 16
JOB_PERIOD_S = 0.04
FORGET_AT_JOB = 3
ITEMS = 10
MOST_EVENTS = 8
# The slowest link of a machine on the sheets of gvp-serving-grown and -large.
LINK_MBPS = 30
COMPLETION_S = 18.0
CALM_S = 5.0


async def submit_one(fleet, items, jobs):
    job = fleet.new_id()
    ids = [fleet.new_id() for _ in range(items)]
    statuses = await fleet.submit(job, ids)
    if statuses[-1] == 202:
        jobs[job] = ids


async def submit_steadily(fleet, rate, seconds, items, jobs):
    tasks = set()
    next_at = time.monotonic()
    for _ in range(int(rate * seconds)):
        tasks.add(asyncio.ensure_future(submit_one(fleet, items, jobs)))
        next_at += 1 / rate
        await asyncio.sleep(max(0, next_at - time.monotonic()))
    await asyncio.gather(*tasks)


async def submit_in_bursts(fleet, jobs):
    tasks = []
    begun = time.monotonic()
    for burst in range(BURSTS):
        for number in range(JOBS_OF_BURST):
            at = begun + burst * BURST_PERIOD_S + number * JOB_PERIOD_S
            await asyncio.sleep(max(0, at - time.monotonic()))
            tasks.append(asyncio.ensure_future(submit_one(fleet, ITEMS, jobs)))
            if fleet.trouble and number == FORGET_AT_JOB:
                await fleet.order(do="forget")
                fleet.record("the store forgets its history")
    await asyncio.gather(*tasks)


async def play(fleet):
    fleet.most_events = MOST_EVENTS
    await fleet.order(do="link", mbps=LINK_MBPS)
    await asyncio.sleep(2)
    jobs = {}
    await submit_steadily(fleet, EARLIER_JOBS_PER_S, EARLIER_JOBS_S, 1, jobs)
    fleet.record(f"{len(jobs)} jobs accepted before the disturbance")
    await submit_in_bursts(fleet, jobs)
    fleet.record(f"{len(jobs)} jobs accepted; answers of the store: "
                 f"{await fleet.order(do='counts')}")
    earlier = EARLIER_JOBS_S * EARLIER_JOBS_PER_S
    if len(jobs) < 0.8 * (earlier + BURSTS * JOBS_OF_BURST):
        raise CannotRun(f"only {len(jobs)} jobs were accepted")
    await asyncio.sleep(COMPLETION_S)
    quiet = (time.monotonic() - fleet.begun - max(
        at for runs in fleet.runs.values() for at, _, _ in runs))
    fleet.record(f"no engine began to run an item in the last {quiet:.1f} s")
    await in_parallel(20, [check(fleet, job, ids, quiet >= CALM_S)
                           for job, ids in jobs.items()])


async def check(fleet, job, ids, is_calm):
    results, total = await fleet.read_results(
        job, fleet.random.choice(fleet.nodes))
    if results is None:
        fleet.breaks(f"LOST: job {job} can't be read: {total}")
        return
    listed = [each["id"] for each in results]
    fleet.record(f"read {job}: total {total}, {len(listed)} results, "
                 f"{len(set(listed))} of {len(ids)} items")
    for item in sorted(set(listed)):
        if listed.count(item) > 1:
            fleet.breaks(f"TWICE: item {item} of job {job} stands at positions "
                         f"{[i for i, x in enumerate(listed) if x == item]}")
    for item in ids:
        if item not in listed and is_calm:
            fleet.breaks(f"LOST: item {item} of job {job} is listed nowhere; "
                         f"its runs: {fleet.runs.get(item)}")
    for each in results:
        # An item may be given up after its retention.
        if (each["state"] == "succeeded" and
                each["output"] != fleet.output(each["id"])):
            fleet.breaks(f"MIXED: job {job} lists {each}")


if __name__ == "__main__":
    main("6", play)
