"""Stand-in of the platform's store, run as a process of its own.

usage: store2.py CONTROL_ADDRESS ADDRESS...

Each node gets an address of its own, so that faults can be aimed at one node.
It follows the pages: a transaction takes 5 ms, one part takes them one after
another and refuses with 429 once more than a second of them waits, an answer
takes 4 ms, rows are listed 500 at a time, changes are kept for 20 s.

Control calls (JSON, not part of the protocol of the pages):
  {"do": "forget"}                      the history before now is dropped
  {"do": "put", "table", "key", "value"}  a write of the operator or a server
  {"do": "remove", "table", "key"}      the platform removes a row
  {"do": "link", "mbps"}                the speed of the link of each node
  {"do": "rows", "table"}               what the table holds
"""

import asyncio
import base64
import json
import sys
import time
import urllib.parse

TRANSACTION_S = 0.005
ANSWER_S = 0.004
MAX_PART_WAIT_S = 1.0
PAGE_ROWS = 500
HISTORY_S = 20.0


async def read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return lines[0], headers, body


class Store:
    def __init__(self):
        self.rows = {}
        self.version = 0
        self.floor = 0
        self.past = []
        self.part_free_at = {}
        self.waiting = set()
        self.link_bytes_s = None
        self.counts = {}

    def wake(self):
        for future in self.waiting:
            if not future.done():
                future.set_result(None)
        self.waiting.clear()

    def write(self, name, value):
        self.rows[name] = (value, self.version)

    def changed(self):
        self.past.append((time.monotonic(), self.version))
        while self.past and self.past[0][0] < time.monotonic() - HISTORY_S:
            self.floor = max(self.floor, self.past.pop(0)[1])
        self.wake()

    def row(self, name):
        value, version = self.rows[name]
        row = {"table": name[0], "part": name[1], "key": name[2],
               "row_version": version}
        if value is None:
            row["deleted"] = True
        else:
            row["value"] = value
        return row

    def answer(self, **fields):
        return dict(fields, row_version=self.version,
                    now_ms=int(time.monotonic() * 1000))

    def version_of(self, name):
        value, version = self.rows.get(name, (None, 0))
        return 0 if value is None else version

    async def transact(self, change):
        names = [(e["table"], e["part"], e["key"])
                 for e in change["expected_rev"]]
        parts = {e["part"] for kind in ("expected_rev", "writes", "remove")
                 for e in change[kind]}
        if len(parts) != 1:
            return 400, {}
        part = parts.pop()
        now = time.monotonic()
        start = max(now, self.part_free_at.get(part, 0))
        if start - now > MAX_PART_WAIT_S:
            self.count("429")
            return 429, {}
        self.part_free_at[part] = start + TRANSACTION_S
        await asyncio.sleep(start + TRANSACTION_S - now)
        # From here to the answer nothing else runs: the transaction is atomic.
        for name, each in zip(names, change["expected_rev"]):
            if self.version_of(name) != each["row_version"]:
                self.count("412")
                return 412, self.answer(rows=[
                    self.row(n) for n in names if self.version_of(n)])
        self.count("200")
        self.version += 1
        for each in change["writes"]:
            self.write((each["table"], part, each["key"]), each["value"])
        for each in change["remove"]:
            self.write((each["table"], part, each["key"]), None)
        self.changed()
        return 200, self.answer()

    def count(self, what):
        self.counts[what] = self.counts.get(what, 0) + 1

    async def feed(self, query):
        after, table = int(query["after"]), query["table"]
        end = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            if after < self.floor:
                self.count("410")
                return 410, {}
            found = sorted((n for n, (_, v) in self.rows.items()
                            if v > after and n[0] == table),
                           key=lambda n: self.rows[n][1])
            left = end - time.monotonic()
            if found or left <= 0:
                return 200, self.answer(rows=[self.row(n) for n in found])
            future = asyncio.get_running_loop().create_future()
            self.waiting.add(future)
            await asyncio.wait([future], timeout=left)

    def get(self, query):
        first, last = query.get("from", ""), query.get("to", "")
        found = sorted(n for n, (value, _) in self.rows.items()
                       if n[0] == query["table"] and value is not None
                       and n[1] == query.get("part", "") and n[2] >= first
                       and (not last or n[2] < last))
        limit = min(PAGE_ROWS, int(query.get("limit", PAGE_ROWS)))
        return 200, self.answer(rows=[self.row(n) for n in found[:limit]],
                                truncated=len(found) > limit)

    async def handle(self, target, body):
        path, _, text = target.partition("?")
        query = {k: v[0] for k, v in urllib.parse.parse_qs(
            text, keep_blank_values=True).items()}
        if path == "/rows-tx":
            return await self.transact(json.loads(body))
        if path == "/rows-feed":
            return await self.feed(query)
        await asyncio.sleep(ANSWER_S)
        if path == "/rows-get":
            return self.get(query)
        return 404, {}

    def control(self, order):
        if order["do"] == "forget":
            self.floor = self.version
            self.wake()
        elif order["do"] == "put":
            self.version += 1
            self.write((order["table"], "", order["key"]), base64.b64encode(
                json.dumps(order["value"]).encode()).decode())
            self.changed()
        elif order["do"] == "remove":
            self.version += 1
            self.write((order["table"], "", order["key"]), None)
            self.changed()
        elif order["do"] == "link":
            self.link_bytes_s = order["mbps"] * 1e6 / 8
        elif order["do"] == "rows":
            return sum(1 for n, (v, _) in self.rows.items()
                       if n[0] == order["table"] and v is not None)
        elif order["do"] == "counts":
            return self.counts
        return None


class Port:
    """Serves one node, over its link."""

    def __init__(self, store):
        self.store = store
        self.link_free_at = 0.0

    async def send(self, writer, data):
        rate = self.store.link_bytes_s
        if rate:
            now = time.monotonic()
            self.link_free_at = max(now, self.link_free_at) + len(data) / rate
            await asyncio.sleep(self.link_free_at - now)
        writer.write(data)
        await writer.drain()

    async def connected(self, reader, writer):
        try:
            while True:
                line, _, body = await read_message(reader)
                status, answer = await self.store.handle(
                    line.split(" ")[1], body)
                text = json.dumps(answer).encode()
                await self.send(writer, (
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(text)}\r\n\r\n").encode() + text)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


async def serve(control, addresses):
    store = Store()

    async def controlled(reader, writer):
        try:
            while line := await reader.readline():
                result = store.control(json.loads(line))
                writer.write(json.dumps(result).encode() + b"\n")
                await writer.drain()
        except ConnectionError:
            pass
        writer.close()

    servers = [await asyncio.start_server(Port(store).connected, *split(a),
                                          limit=1 << 22, backlog=512)
               for a in addresses]
    servers.append(await asyncio.start_server(controlled, *split(control),
                                              limit=1 << 24))
    print("ready", flush=True)
    await asyncio.gather(*(server.serve_forever() for server in servers))


def split(address):
    host, _, port = address.rpartition(":")
    return host, int(port)


if __name__ == "__main__":
    asyncio.run(serve(sys.argv[1], sys.argv[2:]))
