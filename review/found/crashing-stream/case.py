"""A streaming request crashes each engine that runs it, after some events. It
comes again and again at all nodes."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(os.path.dirname(FOLDER)))
import fleet3  # noqa: E402

ROUTE = {"name": "nosing-check", "host": fleet3.HOST, "path_prefix": "/nosing/",
         "kind": "streaming", "service": "scalino-lm", "resumable": False,
         "max_attempts": 1, "timeout_ms": 5000, "target_latency_ms": 300,
         "gap_target_ms": 250, "priority": 0}
ENGINES = 12
# A crashed engine is back after some seconds.
DOWN_S = 3.0
CONTACT_S = 3.0
# The engine crashes when it has made this many events of the request.
EVENTS_BEFORE_CRASH = 5
DEADLY_BODY = b"a prompt that engines crash under"
DEADLY_S, PAUSE_S = 40.0, 1.0
MAX_RETRIES = 3


class Engine(fleet3.Engine):
    async def run(self, request, first, body, stamp, writer):
        if body == DEADLY_BODY:
            self.fleet.deadly.append((time.monotonic(), self.name, request))
            self.fleet.crashes.append(asyncio.ensure_future(self.crash(request)))
        await super().run(request, first, body, stamp, writer)

    async def crash(self, request):
        while self.running.get(request, -1) < EVENTS_BEFORE_CRASH - 1:
            await asyncio.sleep(0.005)
        self.kill()
        await asyncio.sleep(DOWN_S)
        await self.start()


async def setup(folder):
    fleet = fleet3.Fleet(folder, nodes=3, events=25)
    fleet.deadly, fleet.crashes = [], []
    for number in range(ENGINES):
        address = f"{fleet.ip}:{fleet3.free_ports([fleet.ip], 1)[0]}"
        fleet.engines.append(Engine(fleet, f"i-{number}", "scalino-lm", address,
                                    8, 0.03))
    fleet.config(1, [ROUTE], ["scalino-lm"])
    return fleet


async def ask(fleet, node, request, path, body):
    return await fleet.call(node, "POST", path, [
        ("Request-Id", request), ("Deadline-Ms", 5000), ("Model", "m"),
        ("Token-Usage", "450,25"),
        ("Prompt-Prefix", f"5c1e07a2:100,91bd3f06:100,{hash(body) & 0xffff:x}:250"
         if body != DEADLY_BODY else "77aa10:100,77aa11:100,77aa12:250")],
        body)


async def others(fleet, statuses):
    """Sound requests beside it."""
    number = 0
    while not fleet.over:
        number += 1
        request = f"50c0{number:012x}"
        got = await ask(fleet, fleet.nodes[number % 3], request,
                        f"/nosing/{number}", f"prompt {number}".encode())
        statuses.append(got.status if got and got.complete else None)
        await asyncio.sleep(0.1)


async def run(fleet):
    fleet.over, statuses = False, []
    beside = [asyncio.ensure_future(others(fleet, statuses)) for _ in range(3)]
    end, number = time.monotonic() + DEADLY_S, 0
    while fleet3.TROUBLE and time.monotonic() < end:
        number += 1
        await ask(fleet, fleet.nodes[number % 3], f"dead{number:012x}",
                  "/nosing/deadly", DEADLY_BODY)
        await asyncio.sleep(PAUSE_S)
    if not fleet3.TROUBLE:
        await asyncio.sleep(10)
    fleet.over = True
    await asyncio.gather(*beside, *fleet.crashes)
    served = statuses.count(200)
    fleet.record.add(f"{served} of {len(statuses)} sound requests were served, "
                     f"{len(fleet.deadly)} engines crashed")
    if not served:
        raise RuntimeError("no sound request was served")
    if len(fleet.deadly) <= 3:
        return []
    late = [entry for entry in fleet.deadly[3:]
            if entry[0] > fleet.deadly[2][0] + CONTACT_S]
    if len(late) <= MAX_RETRIES:
        return []
    return [f"BUDGET: the request reached engines {len(late)} times later than "
            f"{CONTACT_S:.0f} s after it had crashed the third; "
            f"{len(fleet.deadly)} engines crashed in all"]


if __name__ == "__main__":
    fleet3.exit_with(fleet3.main(FOLDER, sys.modules["__main__"]))
