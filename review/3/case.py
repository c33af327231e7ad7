"""The operator removes a batch route while items of accepted jobs wait. Each of
them must be listed in the end."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

import harness  # noqa: E402

# Without it, the case does the same without the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

NODES = 2
EVENTS, PAUSE_S = 80, 0.02


async def play(fleet):
    await fleet.add_engines("survey-lm", 2, slots=4, events=EVENTS,
                            pause_s=PAUSE_S)
    survey = harness.route("survey", "/survey/", "batch", service="survey-lm")
    catalogue = harness.route("catalogue", "/catalogue/", "batch",
                              service="survey-lm")
    await fleet.put_config(harness.config(7, [survey, catalogue],
                                          ["survey-lm"]))
    await fleet.start_nodes()
    jobs = []
    for _ in range(2):
        for node in fleet.nodes:
            job = await fleet.submit(node, "/survey/", 10)
            if job is None:
                raise harness.CannotRun("a job was not accepted")
            jobs.append((node, job))
    await asyncio.sleep(1)
    await fleet.put_config(harness.config(
        12, [catalogue] if TROUBLE else [survey, catalogue],
        ["survey-lm"]))
    fleet.record.write("traffic ends")
    await asyncio.sleep(harness.COMPLETION_S)
    broken = []
    for node, (job, items) in jobs:
        results, total, status = await fleet.read_results(job, node)
        states = [result["state"] for result in results]
        fleet.record.write(f"job {job}: status {status}, total {total}, "
                           f"{states.count('succeeded')} succeeded, "
                           f"{states.count('dead_lettered')} dead_lettered")
        if len(results) < len(items):
            broken.append(f"LOST: job {job}: {len(items) - len(results)} of "
                          f"{len(items)} items are not listed "
                          f"{harness.COMPLETION_S:.0f} s after the traffic")
    if broken:
        fleet.check_calm()
    return broken


harness.run_case(FOLDER, NODES, play)
