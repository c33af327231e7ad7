"""Engines now and then send bytes that are no answer: a page that names no
request and bears no Server-Stamp, in place of their answer."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import fleet3  # noqa: E402

ROUTE = {"name": "drawing-fetch", "host": fleet3.HOST, "path_prefix": "/draw/",
         "kind": "idempotent", "service": "disegni-app", "max_attempts": 2,
         "timeout_ms": 3000, "target_latency_ms": 300, "priority": 2}
ENGINES = 12
# The site file names share 0.6 of the engines, 0.03 of their answers and 5 s.
FAULTY_ENGINES = 7
ANSWERS_PER_FAULT = 34
FAULTY_S = 5.0
# Clients come in groups; between them, the engines close their idle channels.
CLIENTS, GROUP_PAUSE_S, IDLE_S = 60, 0.5, 0.3
PAGE = b"<html><body>It works!</body></html>"


class Application(fleet3.Engine):
    idle_s = IDLE_S
    answers = 0
    faulty_until = 0.0

    async def run(self, request, first, body, stamp, writer):
        await asyncio.sleep(0.06)
        self.answers += 1
        if (time.monotonic() < self.faulty_until
                and self.answers % ANSWERS_PER_FAULT == 0):
            self.fleet.wrong += 1
            self.fleet.record.add(f"engine {self.name} sends bytes that are no "
                                  f"answer in place of its answer to {request}")
            writer.write(fleet3.answer(200, [("Content-Type", "text/html")], PAGE))
            return
        writer.write(fleet3.answer(200, stamp, b"drawing " + request.encode()))


async def setup(folder):
    fleet = fleet3.Fleet(folder, nodes=3)
    fleet.wrong = 0
    for number in range(ENGINES):
        address = f"{fleet.ip}:{fleet3.free_ports([fleet.ip], 1)[0]}"
        fleet.engines.append(Application(fleet, f"i-{number}", "disegni-app",
                                         address, 6, 0))
    fleet.config(1, [ROUTE], ["disegni-app"])
    return fleet


async def client(fleet, number, begin, broken, served):
    for count in range(int(FAULTY_S / GROUP_PAUSE_S) + 2):
        await asyncio.sleep(begin + count * GROUP_PAUSE_S - time.monotonic())
        request = f"3e1b{number:04x}{count:08x}"
        got = await fleet.call(fleet.nodes[number % 3], "POST",
                               f"/draw/{request}", [("Request-Id", request),
                                                    ("Deadline-Ms", 3000)], b"d")
        if got and 200 <= got.status < 300:
            served.append(request)
            if ("server-stamp" not in got.headers
                    or got.body != b"drawing " + request.encode()):
                broken.append(f"MIXED: the client of request {request} gets "
                              f"{got.status} without a Server-Stamp, with "
                              f"{got.body!r}")


async def run(fleet):
    broken, served = [], []
    if fleet3.TROUBLE:
        for engine in fleet.engines[:FAULTY_ENGINES]:
            engine.faulty_until = time.monotonic() + FAULTY_S
    begin = time.monotonic()
    await asyncio.gather(*(client(fleet, number, begin, broken, served)
                           for number in range(CLIENTS)))
    if not served:
        raise RuntimeError("no request was served")
    fleet.record.add(f"{fleet.wrong} answers were no answers, {len(served)} "
                     "requests were answered with success")
    return broken


if __name__ == "__main__":
    fleet3.exit_with(fleet3.main(FOLDER, sys.modules["__main__"]))
