"""One engine fails part of its requests after it began to run them, with a 503
that does not say that the request has not run."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import fleet3  # noqa: E402

ROUTE = {"name": "order", "host": fleet3.HOST, "path_prefix": "/order/",
         "kind": "non_idempotent", "service": "disegni-app", "max_attempts": 1,
         "timeout_ms": 3000, "target_latency_ms": 300, "priority": 2}
# fleetbench kinds names share 0.15 and x 0.4 for srv_grey.
ENGINES, GREY_ENGINES = 7, 1
FAILED_IN_TEN = 3
# Clients come in groups, so that all engines get requests.
GROUPS, ORDERS_PER_GROUP = 14, 30


class Application(fleet3.Engine):
    grey = False
    requests = 0

    async def run(self, request, first, body, stamp, writer):
        await asyncio.sleep(0.06)
        self.fleet.entered.append((body.decode(), request, self.name))
        self.requests += 1
        if self.grey and self.requests % 10 >= 10 - FAILED_IN_TEN:
            # The order is entered, but its confirmation fails.
            self.fleet.record.add(f"engine {self.name} has entered {body.decode()}"
                                  f" for {request} and answers 503 without Not-Run")
            writer.write(fleet3.answer(503, stamp, b"the confirmation failed"))
        else:
            writer.write(fleet3.answer(200, stamp, b"entered " + body))


async def setup(folder):
    fleet = fleet3.Fleet(folder, nodes=3)
    fleet.entered = []
    for number in range(ENGINES):
        address = f"{fleet.ip}:{fleet3.free_ports([fleet.ip], 1)[0]}"
        engine = Application(fleet, f"i-{number}", "disegni-app", address, 6, 0)
        engine.grey = fleet3.TROUBLE and number < GREY_ENGINES
        fleet.engines.append(engine)
    fleet.config(1, [ROUTE], ["disegni-app"])
    return fleet


async def order(fleet, number, answers):
    """A client: it sends a request that may run once again only after a status
    that promises that it has not run."""
    for attempt in range(2):
        request = f"9c41d07b{number:04x}{attempt:04x}"
        got = await fleet.call(
            fleet.nodes[(number + attempt) % 3], "POST", f"/order/{number}",
            [("Request-Id", request), ("Deadline-Ms", 3000)],
            f"order-{number}".encode())
        answers[request] = got.status if got else None
        if not got or got.status not in (429, 503, 408, 421):
            return


async def run(fleet):
    answers = {}
    clients = []
    for number in range(GROUPS * ORDERS_PER_GROUP):
        clients.append(asyncio.ensure_future(order(fleet, number, answers)))
        if number % ORDERS_PER_GROUP == 0:
            await asyncio.sleep(0.25)
    await asyncio.gather(*clients)
    if not any(status == 200 for status in answers.values()):
        raise RuntimeError("no order was answered")
    broken = []
    for text, request, engine in fleet.entered:
        if answers[request] in (429, 503, 408, 421):
            times = sum(1 for other, _, _ in fleet.entered if other == text)
            broken.append(f"REFUSED: request {request} is answered "
                          f"{answers[request]} and has run at {engine}; "
                          f"{text} is entered {times} times")
    return broken


if __name__ == "__main__":
    fleet3.exit_with(fleet3.main(FOLDER, sys.modules["__main__"]))
