"""All engines of one service are lost for good. Jobs of another service, whose
engines are idle, must still be finished."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

import harness  # noqa: E402

# Without it, the case does the same without the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

NODES = 2
ENGINES = 3
EVENTS, PAUSE_S = 40, 0.02


async def play(fleet):
    await fleet.add_engines("survey-lm", ENGINES, events=EVENTS,
                            pause_s=PAUSE_S)
    await fleet.add_engines("catalogue-lm", ENGINES, events=EVENTS,
                            pause_s=PAUSE_S)
    await fleet.put_config(harness.config(
        7,
        [harness.route("survey", "/survey/", "batch", service="survey-lm"),
         harness.route("catalogue", "/catalogue/", "batch",
                       service="catalogue-lm", run_target_ms=10000)],
        ["survey-lm", "catalogue-lm"]))
    await fleet.start_nodes()
    if TROUBLE:
        lost = [e for e in fleet.engines if e.service == "survey-lm"]
        await asyncio.gather(*(engine.crash() for engine in lost))
    jobs = []
    for number in range(3):
        for node in fleet.nodes:
            for prefix in ("/survey/", "/catalogue/"):
                job = await fleet.submit(node, prefix, 5)
                if job is None:
                    raise harness.CannotRun("a job was not accepted")
                jobs.append((prefix, node, job))
        await asyncio.sleep(0.5)
    fleet.record.write("traffic ends")
    await asyncio.sleep(harness.COMPLETION_S)
    broken = []
    for prefix, node, (job, items) in jobs:
        results, total, _ = await fleet.read_results(job, node)
        states = [result["state"] for result in results]
        fleet.record.write(f"job {job} ({prefix}): total {total}, "
                           f"{states.count('succeeded')} succeeded, "
                           f"{states.count('dead_lettered')} dead_lettered")
        for result in results:
            if (result["state"] == "succeeded" and result["output"]
                    != harness.whole_output(result["id"], EVENTS)):
                broken.append(f"item {result['id']} has a wrong output")
        # Nothing is asked for the items that no engine can run.
        if prefix == "/catalogue/" and len(results) < len(items):
            broken.append(f"LOST: job {job}: {len(items) - len(results)} of "
                          f"{len(items)} items are not listed "
                          f"{harness.COMPLETION_S:.0f} s after the traffic")
    if broken:
        fleet.check_calm()
    fleet.record.write("engines of catalogue-lm: " + ", ".join(
        f"{engine.name} ran {len(engine.runs)} items, at most {engine.peak} "
        f"of {engine.slots} at once" for engine in fleet.engines
        if engine.service == "catalogue-lm"))
    return broken


harness.run_case(FOLDER, NODES, play)
