"""The engine of one zone is lost for good. The engines of the other zone, which
have one slot each, are idle and must run the items of the first zone's node."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

import harness  # noqa: E402

# Without it, the case does the same without the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

EVENTS, PAUSE_S = 40, 0.02


async def play(fleet):
    await fleet.add_engines("survey-lm", 1, slots=1, events=EVENTS,
                            pause_s=PAUSE_S, zone="z1")
    for number in range(3):
        engine = harness.Engine(f"i-other-{number}", "survey-lm",
                                fleet.engine_ip, fleet.store, fleet.record,
                                slots=1, events=EVENTS, pause_s=PAUSE_S,
                                zone="z2")
        await engine.start()
        fleet.engines.append(engine)
    await fleet.put_config(harness.config(
        7, [harness.route("survey", "/survey/", "batch",
                          service="survey-lm")], ["survey-lm"]))
    await fleet.start_nodes(zones=["z1", "z2"])
    if TROUBLE:
        await fleet.engines[0].crash()
    job = await fleet.submit(fleet.nodes[0], "/survey/", 5, attempts=1)
    if job is None:
        raise harness.CannotRun("the job was not accepted")
    fleet.record.write("traffic ends")
    await asyncio.sleep(harness.COMPLETION_S)
    results, total, status = await fleet.read_results(job[0], fleet.nodes[0])
    states = [result["state"] for result in results]
    fleet.record.write(f"job {job[0]}: status {status}, total {total}, "
                       f"{states.count('succeeded')} succeeded, "
                       f"{states.count('dead_lettered')} dead_lettered")
    fleet.record.write("runs: " + ", ".join(
        f"{engine.name} {len(engine.runs)}" for engine in fleet.engines))
    if len(results) == len(job[1]):
        return []
    fleet.check_calm()
    return [f"LOST: job {job[0]}: {len(job[1]) - len(results)} of "
            f"{len(job[1])} items are not listed "
            f"{harness.COMPLETION_S:.0f} s after the traffic"]


harness.run_case(FOLDER, 2, play)
