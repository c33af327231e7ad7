"""Engines crash five times while the same item runs, then all stay up."""

import asyncio
import os
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
ITEM = "e5b2907c14da6f38"
JOB = "7c41e09b52d6a3f8"
CRASHES = 5
# An engine is back some seconds after a crash; 4.5 s is the largest in the
# site file.
DOWN_S = 1.0
# Items that failed at an engine in the last 20 s do not count.
COMPLETION_S = 18
EXCUSED_S = 20


async def setup(folder):
    fleet = fleet3.Fleet(folder, nodes=3, events=172)
    for number in range(12):
        fleet.add_engine(f"i-{number}", "scalino-lm")
    fleet.config(1, [ROUTE], ["scalino-lm"])
    return fleet


async def restart(engine):
    await asyncio.sleep(DOWN_S)
    await engine.start()


async def run(fleet):
    got = await fleet.submit(fleet.nodes[0], "/survey/", JOB, [ITEM])
    if not got or got.status != 202:
        raise RuntimeError("the submission was not accepted")
    restarts, crashed_at, crashes = [], time.monotonic(), 0
    end = time.monotonic() + 40
    while fleet3.TROUBLE and crashes < CRASHES and time.monotonic() < end:
        await asyncio.sleep(0.05)
        for engine in fleet.engines:
            # The engine crashes some events after it began to run the item.
            if ITEM in engine.running and any(
                    name == engine.name and began > crashed_at
                    and time.monotonic() - began > 0.5
                    for began, name, _, _ in fleet.runs):
                engine.kill()
                crashes, crashed_at = crashes + 1, time.monotonic()
                restarts.append(asyncio.ensure_future(restart(engine)))
                break
    await asyncio.gather(*restarts)
    fleet.record.add(f"{crashes} crashes; all engines are up from here on")
    await asyncio.sleep(max(COMPLETION_S, EXCUSED_S + 4
                            - (time.monotonic() - crashed_at)))
    for node in fleet.nodes:
        page = await fleet.results(node, JOB)
        if page and page["results"]:
            return []
    late = [run for run in fleet.runs if run[0] > crashed_at]
    busy = [engine.name for engine in fleet.engines if engine.running]
    if late or busy:
        raise RuntimeError("the item was at an engine after the last crash")
    return [f"LOST: item {ITEM} is not listed {time.monotonic() - crashed_at:.1f}"
            " s after the last crash, and no engine got it since"]


if __name__ == "__main__":
    fleet3.exit_with(fleet3.main(FOLDER, sys.modules["__main__"]))
