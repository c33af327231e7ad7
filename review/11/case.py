"""Two of twelve engines crash, again and again for eighteen seconds, while items
run; then all engines stay up."""

import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import fleet3  # noqa: E402

ROUTE = {"name": "survey-lot", "host": fleet3.HOST, "path_prefix": "/survey/",
         "kind": "batch", "service": "scalino-lm", "resumable": True,
         "max_attempts": 3, "timeout_ms": 15000, "target_latency_ms": 400,
         "gap_target_ms": 250, "run_target_ms": 18000, "retention_s": 60,
         "max_count": 2100000, "priority": 2}
ENGINES, EVENTS, PAUSE_S = 12, 172, 0.03
# The site file names share 0.17 of the engines and 4.5 s for srv_crash.
CRASHING, DOWN_S, CRASH_PERIOD_S, CRASHES = 2, 0.3, 0.45, 40
JOBS, ITEMS, JOB_PERIOD_S = 15, 10, 1.2
# The results are read completion_s after the last submission at the soonest,
# and later than 20 s after the last crash: items that failed at an engine in
# the last 20 s do not count.
COMPLETION_S, FAILED_S, CALM_S = 18, 20, 5


async def setup(folder):
    fleet = fleet3.Fleet(folder, nodes=3, events=EVENTS)
    for number in range(ENGINES):
        fleet.add_engine(f"i-{number}", "scalino-lm", pause_s=PAUSE_S)
    fleet.config(1, [ROUTE], ["scalino-lm"])
    return fleet


async def crash(engines):
    for engine in engines:
        engine.kill()
    await asyncio.sleep(DOWN_S)
    for engine in engines:
        await engine.start()


async def storm(fleet):
    """The crashes, one pair of engines after the other."""
    choice = random.Random(int(os.environ.get("SEED", "1")))
    for _ in range(CRASHES):
        begin = time.monotonic()
        await crash(choice.sample(fleet.engines, CRASHING))
        await asyncio.sleep(begin + CRASH_PERIOD_S - time.monotonic())


async def submit(fleet, jobs):
    for number in range(JOBS):
        job = f"7c41e09b52d6{number:04x}"
        items = [f"{job}{item:02x}" for item in range(ITEMS)]
        got = await fleet.submit(fleet.nodes[number % 3], "/survey/", job, items)
        if got and got.status == 202:
            jobs[job] = items
        await asyncio.sleep(JOB_PERIOD_S)


async def run(fleet):
    jobs = {}
    tasks = [submit(fleet, jobs)]
    if fleet3.TROUBLE:
        tasks.append(storm(fleet))
    await asyncio.gather(*tasks)
    if not jobs:
        raise RuntimeError("no submission was accepted")
    fleet.record.add("all engines are up from here on")
    await asyncio.sleep(max(COMPLETION_S, FAILED_S + 1))
    fleet.record.add(f"{sum(len(e.running) for e in fleet.engines)} items are at "
                     f"engines with {sum(e.slots for e in fleet.engines)} slots")
    now, broken = time.monotonic(), []
    for job, items in jobs.items():
        listed, node = [], fleet.nodes[0]
        while page := await fleet.results(node, job, len(listed)):
            if not page["results"]:
                break
            listed += [result["id"] for result in page["results"]]
        open_items = set(items) - set(listed)
        had = any(entry[2] in open_items and entry[0] > now - CALM_S
                  for entry in fleet.runs)
        running = any(item in engine.running for engine in fleet.engines
                      for item in open_items)
        if open_items and not had and not running:
            last = max(entry[0] for entry in fleet.runs
                       if entry[2] in open_items)
            broken.append(f"LOST: {len(open_items)} of {len(items)} items of "
                          f"{job} are not listed, and were last sent to an "
                          f"engine {now - last:.1f} s ago")
    finished = [end for end in fleet.completed if end > now - 3]
    if broken and finished:
        raise RuntimeError("items were finished in the last 3 s")
    return broken


if __name__ == "__main__":
    fleet3.exit_with(fleet3.main(FOLDER, sys.modules["__main__"]))
