"""An engine leaves just after the open channels to the store went silent."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from fleet2 import CannotRun, main  # noqa: E402

ROUNDS = 5
ROUND_S = 12.0
REQUESTS_S = 60.0
# The entry is removed this long after the channels went silent.
LEAVES_AFTER_S = 0.5
DRAIN_S = 2.0
CONTACT_S = 3.0
# Covers the time between a send and the engine's clock.
MARGIN_S = 0.05
# "It continues serving for drain_ms ... and a little longer (at times many
# seconds), and then exits."
SERVES_ON_S = DRAIN_S + 6.0


async def send_requests(fleet, stop):
    tasks = set()
    next_at = time.monotonic()
    counts = {}

    async def one(node):
        request = fleet.new_id()
        answer = await fleet.call(node, "POST", f"/puxa403/{request[:6]}",
                                  {"Request-Id": request, "Deadline-Ms": "3000"},
                                  b"drawing")
        status = answer[0] if answer else None
        counts[status] = counts.get(status, 0) + 1
        fleet.record(f"request {request} to {node.name}: {status}")
    while not stop.is_set():
        node = fleet.nodes[len(tasks) % len(fleet.nodes)]
        tasks.add(asyncio.ensure_future(one(node)))
        next_at += 1 / REQUESTS_S
        await asyncio.sleep(max(0, next_at - time.monotonic()))
    await asyncio.gather(*tasks)
    fleet.record(f"answers: {counts}")


def busiest_engine(fleet):
    """Returns the engine that got most requests in the last two seconds."""
    now = time.monotonic() - fleet.begun
    recent = [engine for at, engine in fleet.arrivals if at > now - 2]
    return max(fleet.listed, key=lambda each: recent.count(each.id))


async def play(fleet):
    stop = asyncio.Event()
    clients = asyncio.ensure_future(send_requests(fleet, stop))
    await asyncio.sleep(4)
    for number in range(ROUNDS):
        # The nodes' calls to the store must not keep step with the rounds.
        end = time.monotonic() + ROUND_S + fleet.random.random()
        leaving = busiest_engine(fleet)
        silent_at = time.monotonic() - fleet.begun
        if fleet.trouble:
            channels = [link.silence() for link in fleet.links]
            fleet.record(f"the open channels to the store went silent, {channels}")
        await asyncio.sleep(LEAVES_AFTER_S)
        await fleet.order(do="remove", table="servers", key=leaving.id)
        left_at = time.monotonic() - fleet.begun
        fleet.listed.remove(leaving)
        fleet.record(f"engine {leaving.id} leaves; its entry is removed")
        await asyncio.sleep(SERVES_ON_S)
        # Machines are in touch contact_ms after their channels were disturbed.
        allowed = max(left_at + DRAIN_S,
                      silent_at + CONTACT_S if fleet.trouble else 0) + MARGIN_S
        arrivals = [at for at, engine in fleet.arrivals if engine == leaving.id]
        if not any(at < left_at for at in arrivals):
            raise CannotRun("no request had reached the engine that leaves")
        late = [at for at in arrivals if at > allowed]
        for at in late:
            fleet.breaks(
                f"DRAIN: a request reached engine {leaving.id} "
                f"{at - left_at:.3f} s after its entry was removed, "
                f"{at - silent_at:.3f} s after the channels went silent")
        last = max(arrivals)
        print(f"round {number}: last request to the engine "
              f"{last - left_at:.3f} s after it left, {len(late)} too late",
              flush=True)
        await fleet.add_engine()
        await asyncio.sleep(end - time.monotonic())
    stop.set()
    await clients


if __name__ == "__main__":
    main("8", play, nodes=4, engines=3, slots=6)
