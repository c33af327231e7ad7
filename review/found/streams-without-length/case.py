"""The channels of one node are reset while its clients read streams. The
clients resume their streams at the other nodes. Engines end their streams by
closing their channels."""

import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(os.path.dirname(FOLDER)))
import fleet3  # noqa: E402

ROUTE = {"name": "quote-line", "host": fleet3.HOST, "path_prefix": "/quote/",
         "kind": "streaming", "service": "scalino-lm", "resumable": True,
         "max_attempts": 2, "timeout_ms": 5000, "target_latency_ms": 300,
         "gap_target_ms": 250, "priority": 0}
ENGINES, SLOTS = 12, 16
EVENTS, PAUSE_S = 25, 0.03
# Between its last event and the end of its channel, which is within the pause
# that the sheet allows between events.
END_PAUSE_S = 0.25
CLIENTS = 160
# The site file names share 0.35 of the machines (one of three here) and x 0.55
# of their channels for reset_conns.
RESET_PART = 0.55
# A machine may close a channel without an answer so often.
ALLOWED = 3


class Engine(fleet3.Engine):
    """Its streams have no length and end with their channels."""

    async def run(self, request, first, body, stamp, writer):
        writer.write(fleet3.head_bytes("HTTP/1.1 200 OK", stamp + [
            ("Content-Type", "text/event-stream"), ("Connection", "close")]))
        for number in range(first, EVENTS):
            await asyncio.sleep(PAUSE_S)
            writer.write(f"id: {number}\ndata: {number}\n\n".encode())
            await writer.drain()
        await asyncio.sleep(END_PAUSE_S)
        writer.close()
        raise ConnectionError("the stream has ended with its channel")


class Channel:
    """A kept channel of a client, through a link that may be reset."""

    def __init__(self, node):
        self.node, self.events, self.done = node, [], False
        self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(
            self.node.ip, self.node.front)

    def reset(self):
        self.writer.transport.abort()

    async def ask(self, request, last_event):
        headers = [("Host", fleet3.HOST), ("Request-Id", request),
                   ("Deadline-Ms", 5000), ("Model", "m"),
                   ("Token-Usage", "350,25"), ("Content-Length", 1),
                   ("Prompt-Prefix", f"5c1e07a2:100,{request}:250")]
        if last_event is not None:
            headers.append(("Last-Event-Id", last_event))
        self.writer.write(fleet3.head_bytes("POST /quote/a HTTP/1.1", headers)
                          + b"q")
        line, head = await fleet3.read_head(self.reader)
        status = int(line.split(" ")[1])
        if status != 200:
            await self.reader.readexactly(int(head.get("content-length", 0)))
            return status
        while size := int(await self.reader.readline(), 16):
            piece = await self.reader.readexactly(size)
            await self.reader.readline()
            self.events += [int(text[4:]) for text in piece.decode().split("\n")
                            if text.startswith("id: ")]
        await self.reader.readline()
        return status


async def setup(folder):
    fleet = fleet3.Fleet(folder, nodes=3)
    for number in range(ENGINES):
        address = f"{fleet.ip}:{fleet3.free_ports([fleet.ip], 1)[0]}"
        fleet.engines.append(Engine(fleet, f"i-{number}", "scalino-lm", address,
                                    SLOTS, PAUSE_S))
    fleet.config(1, [ROUTE], ["scalino-lm"])
    return fleet


async def attempt(fleet, node, request, last_event, channels):
    """One request on a kept channel; the events, and how it ended."""
    channel = Channel(node)
    channels.append(channel)
    try:
        await channel.open()
        status = await asyncio.wait_for(channel.ask(request, last_event), 6)
        how = str(status)
    except (OSError, asyncio.IncompleteReadError, ValueError):
        how = "closed"
    except asyncio.TimeoutError:
        how = "no end"
    channel.done = True
    if channel.events or last_event is not None:
        fleet.record.add(f"{node.name} {request} after event {last_event}: "
                         f"{len(channel.events)} events, {how}")
    return channel.events, how


async def client(fleet, number, channels, lost):
    await asyncio.sleep(random.random() * 1.2)
    request = f"7c41{number:08x}"
    events, how = await attempt(fleet, fleet.nodes[0], request, None, channels)
    if how == "200":
        return True
    # The one retry of the sheet reaches another node, on a new channel.
    node = fleet.nodes[1 + number % 2]
    request = f"7c41{number:08x}0001"
    _, how = await attempt(fleet, node, request,
                           events[-1] if events else None, [])
    if how == "closed" and any(entry[2] == request for entry in fleet.runs):
        lost.setdefault(node.name, []).append(request)
    return how == "200"


async def run(fleet):
    channels, lost = [], {}
    clients = [asyncio.ensure_future(client(fleet, number, channels, lost))
               for number in range(CLIENTS)]
    await asyncio.sleep(1.2)
    if fleet3.TROUBLE:
        open_now = [channel for channel in channels
                    if channel.writer and not channel.done]
        chosen = random.sample(open_now, int(len(open_now) * RESET_PART))
        fleet.record.add(f"{len(chosen)} of {len(open_now)} channels of "
                         f"{fleet.nodes[0].name} are reset")
        for channel in chosen:
            channel.reset()
    complete = sum(await asyncio.gather(*clients))
    fleet.record.add(f"{complete} of {CLIENTS} streams were completed")
    if not complete:
        raise RuntimeError("no stream was completed")
    return [f"LOST: {name} passed {len(requests)} requests from kept channels on "
            f"to sound engines and closed the channels without an answer"
            for name, requests in sorted(lost.items()) if len(requests) > ALLOWED]


if __name__ == "__main__":
    fleet3.exit_with(fleet3.main(FOLDER, sys.modules["__main__"]))
