"""Engines now and then send bytes that are no answer before their answer to an
item: an interim answer with a body."""

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
ENGINES = 12
# The site file names share 0.6 of the engines, 0.03 of their answers and 5 s.
FAULTY_ENGINES = 7
ANSWERS_PER_FAULT = 34
FAULTY_S = 5.0
JOBS, ITEMS = 30, 20
NO_ANSWER = (fleet3.head_bytes("HTTP/1.1 102 Processing", [
    ("Transfer-Encoding", "chunked")]) + b'13\r\n{"status":"queued"}\r\n0\r\n\r\n')


class FaultyEngine(fleet3.Engine):
    answers = 0
    faulty_until = 0.0

    async def run(self, request, first, body, stamp, writer):
        self.answers += 1
        if (time.monotonic() < self.faulty_until
                and self.answers % ANSWERS_PER_FAULT == 0):
            self.fleet.record.add(f"engine {self.name} sends bytes that are no "
                                  f"answer before its answer to {request}")
            self.fleet.faulty.add(request)
            writer.write(NO_ANSWER)
        await super().run(request, first, body, stamp, writer)


async def setup(folder):
    fleet = fleet3.Fleet(folder, nodes=3, events=20)
    fleet.faulty = set()
    for number in range(ENGINES):
        address = f"{fleet.ip}:{fleet3.free_ports([fleet.ip], 1)[0]}"
        fleet.engines.append(FaultyEngine(fleet, f"i-{number}", "scalino-lm",
                                          address, 8, 0.01))
    fleet.config(1, [ROUTE], ["scalino-lm"])
    return fleet


async def run(fleet):
    if fleet3.TROUBLE:
        for engine in fleet.engines[:FAULTY_ENGINES]:
            engine.faulty_until = time.monotonic() + FAULTY_S
    jobs = {}
    for number in range(JOBS):
        job = f"7c41e09b52d6{number:04x}"
        items = [f"{job}{item:02x}" for item in range(ITEMS)]
        got = await fleet.submit(fleet.nodes[number % 3], "/survey/", job, items)
        if got and got.status == 202:
            jobs[job] = items
        await asyncio.sleep(0.1)
    broken, unread = [], set(jobs)
    end = time.monotonic() + 40
    while unread and time.monotonic() < end:
        await asyncio.sleep(0.5)
        for job in list(unread):
            page = await fleet.results(fleet.nodes[0], job)
            if not page or len(page["results"]) < page["total"]:
                continue
            unread.discard(job)
            for result in page["results"]:
                item, output = result["id"], result["output"]
                if result["state"] == "succeeded" and output != fleet.output(item):
                    broken.append(
                        f"MIXED: item {item} is succeeded, and its text is not "
                        f"the whole output: it begins with {output[:24]!r}")
    if not jobs or unread:
        raise RuntimeError("the submissions did not end")
    fleet.record.add(f"{len(fleet.faulty)} answers of {len(fleet.runs)} were "
                     "preceded by bytes that are no answer")
    return broken


if __name__ == "__main__":
    fleet3.exit_with(fleet3.main(FOLDER, sys.modules["__main__"]))
