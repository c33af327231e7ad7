"""Stand-ins of the soak: the platform's store, backend servers, and proxies
that delay, reset or silence connections. All run in the soak's own loop."""

import asyncio
import base64
import json
import random
import socket
import struct
import time
import urllib.parse



async def read_message(reader):
    """Reads one HTTP message with a Content-Length; None at the end."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return lines[0], headers, body


def answer_bytes(status, headers, body):
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return head.encode("latin-1") + b"\r\n" + body


def reset(writer):
    """Resets a connection; a plain abort can end it in order."""
    connection = writer.get_extra_info("socket")
    # The connection may have ended already.
    if connection.fileno() >= 0:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                              struct.pack("ii", 1, 0))
    writer.transport.abort()


class HttpServer:
    """Serves connections with a handler coroutine; can be closed and opened."""

    def __init__(self, address, port):
        self.address, self.port = address, port
        self.server = None
        self.writers = set()

    async def open(self):
        self.server = await asyncio.start_server(
            self.connected, self.address, self.port)

    def crash(self):
        """Stops listening and resets every connection."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def connected(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                await self.handle(method, target, headers, body, reader, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError,
                asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store(HttpServer):
    """The transactional rows of the platform, with outages and lost answers."""

    def __init__(self, address, port, rng):
        super().__init__(address, port)
        self.rng = rng
        self.rows = {}
        self.version = 0
        self.changed = asyncio.Condition()
        self.down = False
        self.lose = 0.0

    async def put(self, table, part, key, value):
        self.version += 1
        self.rows[table, part, key] = (value, self.version)
        async with self.changed:
            self.changed.notify_all()

    async def remove(self, table, part, key):
        self.version += 1
        self.rows[table, part, key] = (None, self.version)
        async with self.changed:
            self.changed.notify_all()

    def row(self, name):
        value, version = self.rows[name]
        row = dict(zip(("table", "part", "key"), name), row_version=version)
        if value is None:
            row["deleted"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        return row

    def page(self, rows, truncated=False):
        return {"rows": rows, "truncated": truncated,
                "row_version": self.version,
                "now_ms": int(time.monotonic() * 1000)}

    async def transact(self, change):
        names = [(each["table"], each["part"], each["key"])
                 for each in change["expected_rev"]]
        for name, each in zip(names, change["expected_rev"]):
            value, version = self.rows.get(name, (None, 0))
            if (version if value is not None else 0) != each["row_version"]:
                present = [n for n in names
                           if self.rows.get(n, (None, 0))[0] is not None]
                return 412, self.page([self.row(n) for n in present])
        self.version += 1
        for each in change["writes"]:
            name = each["table"], each["part"], each["key"]
            self.rows[name] = (base64.b64decode(each["value"]), self.version)
        for each in change["remove"]:
            self.rows[each["table"], each["part"], each["key"]] = (
                None, self.version)
        async with self.changed:
            self.changed.notify_all()
        return 200, {"row_version": self.version,
                     "now_ms": int(time.monotonic() * 1000)}

    async def feed(self, query):
        after, table = int(query["after"]), query["table"]
        end = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            found = sorted((n for n, (_, version) in self.rows.items()
                            if n[0] == table and version > after),
                           key=lambda n: self.rows[n][1])
            left = end - time.monotonic()
            if found or left <= 0:
                return 200, self.page([self.row(n) for n in found])
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    def get(self, query):
        first, last = query.get("from", ""), query.get("to", "")
        found = sorted(n for n, (value, _) in self.rows.items()
                       if value is not None and n[0] == query["table"]
                       and n[1] == query.get("part", "") and n[2] >= first
                       and (not last or n[2] < last))
        limit = int(query.get("limit", 500))
        return 200, self.page([self.row(n) for n in found[:limit]],
                              len(found) > limit)

    async def handle(self, method, target, headers, body, reader, writer):
        path, _, text = target.partition("?")
        query = {k: v[0] for k, v in urllib.parse.parse_qs(
            text, keep_blank_values=True).items()}
        if self.down:
            writer.write(answer_bytes(503, {}, b""))
            return
        if path == "/rows-tx":
            status, answer = await self.transact(json.loads(body))
            if self.rng.random() < self.lose:
                raise ConnectionError("the answer is lost on purpose")
        elif path == "/rows-feed":
            status, answer = await self.feed(query)
        else:
            status, answer = self.get(query)
        writer.write(answer_bytes(status, {}, json.dumps(answer).encode()))


class Engine(HttpServer):
    """A backend server. It remembers what it ran, for the soak's checks."""

    EVENT_PAUSE_S = 0.02

    def __init__(self, name, service, address, port, slots, runs):
        super().__init__(address, port)
        self.name, self.service, self.slots = name, service, slots
        self.runs = runs
        self.busy = 0
        # While it is set, answers never end: "event", "body" or "head".
        self.endless = None
        # While it is set, answers are broken: one of BROKEN_KINDS.
        self.broken = None
        self.born = int(time.time() * 1000)

    def entry(self, state):
        return json.dumps({
            "service": self.service, "address": f"{self.address}:{self.port}",
            "zone": "z", "version": "v1", "slots": self.slots, "state": state,
            "cold_ms": 0, "sequence": 1, "born": self.born}).encode()

    async def handle(self, method, target, headers, body, reader, writer):
        request_id = headers.get("request-id", "")
        echo = {"Request-Id": request_id, "Server-Stamp": self.name}
        if method == "GET":
            writer.write(answer_bytes(200, {"Instance-Id": self.name}, b""))
            return
        if headers.get("expect-instance", self.name) != self.name:
            writer.write(answer_bytes(421, {"Instance-Id": self.name}, b""))
            return
        if self.busy >= self.slots * 3:
            writer.write(answer_bytes(503, dict(echo, **{"Not-Run": "1"}), b""))
            return
        self.busy += 1
        self.runs.setdefault(request_id, []).append(self.name)
        try:
            if self.endless:
                await self.send_endlessly(echo, writer)
            elif self.broken:
                writer.write(broken_answer(self.broken, request_id, echo))
                await writer.drain()
                if self.broken == "reset":
                    reset(writer)
                writer.close()
            elif "/plain/" in target:
                await asyncio.sleep(self.EVENT_PAUSE_S)
                writer.write(answer_bytes(200, echo, b"plain " + body))
            else:
                await self.stream(request_id, headers, echo, writer)
        finally:
            self.busy -= 1

    async def send_endlessly(self, echo, writer):
        """Writes as fast as it can until the other side closes."""
        start, piece = endless_answer(self.endless, echo)
        writer.write(start)
        while not writer.is_closing():
            writer.write(piece)
            await writer.drain()

    async def stream(self, request_id, headers, echo, writer):
        head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        head += "".join(f"{name}: {value}\r\n" for name, value in echo.items())
        writer.write(head.encode() + b"Transfer-Encoding: chunked\r\n\r\n")
        first = int(headers.get("last-event-id", -1)) + 1
        for number in range(first, event_count(request_id)):
            await asyncio.sleep(self.EVENT_PAUSE_S)
            event = f"id: {number}\ndata: {request_id}-{number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


# What a server sends without end in place of an answer.
ENDLESS_KINDS = ("event", "comment", "body", "length", "head", "interim",
                 "garbage", "other")


def endless_answer(kind, echo):
    """Returns how an answer without end begins, and what is repeated then."""
    if kind == "interim":
        return b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 3000
    if kind == "garbage":
        return b"", b"\0no answer" * 7000
    if kind == "other":
        echo = {name: "of-another-request" for name in echo}
    head = "HTTP/1.1 200 OK\r\n" + "".join(
        f"{name}: {value}\r\n" for name, value in echo.items())
    if kind in ("event", "comment"):
        head += "Content-Type: text/event-stream\r\n"
    if kind == "head":
        return head.encode(), b"A: b\r\n" * 10000
    if kind == "length":
        return head.encode() + b"Content-Length: 9999999999\r\n\r\n", b"x" * 65536
    text = b": comment\n\n" * 6000 if kind == "comment" else b"x" * 65536
    return (head.encode() + b"Transfer-Encoding: chunked\r\n\r\n",
            b"%x\r\n%s\r\n" % (len(text), text))


# How an answer is broken.
BROKEN_KINDS = ("status", "interim", "name", "control", "fold", "length",
                "two lengths", "reset")


def broken_answer(kind, request_id, echo):
    """Returns the bytes of an answer that callers must not get."""
    lines = [f"{name}: {value}" for name, value in echo.items()]
    lines.append("Content-Type: text/event-stream")
    broken_lines = {
        "name": "X Note: a", "control": "X\x01Note: a",
        "fold": "X-Note: a\r\n folded", "length": "Content-Length : 3",
        "two lengths": "Content-Length: 3\r\nContent-Length: 6"}
    if kind in broken_lines:
        lines.append(broken_lines[kind])
    status = "000 OK" if kind == "status" else "200 OK"
    start = "HTTP/1.1 000 OK\r\n\r\n" if kind == "interim" else ""
    # A stream may be resumed after the events before a reset.
    data = f"{request_id}-0" if kind == "reset" else "broken"
    return (start + f"HTTP/1.1 {status}\r\n" + "\r\n".join(lines) +
            f"\r\n\r\nid: 0\ndata: {data}\n\n").encode()


def event_count(request_id):
    """How many events the answer to a request has."""
    return 3 + sum(request_id.encode()) % 20


def whole_output(request_id):
    return "\n".join(f"{request_id}-{n}" for n in range(event_count(request_id)))


class Proxy:
    """Passes connections on; can delay, silence or reset them."""

    def __init__(self, address, port, to_address, to_port):
        self.listen = address, port
        self.target = to_address, to_port
        self.delay = 0.0
        # Directions that are silent: "up" to the target, "down" from it.
        self.silent = set()
        self.links = set()

    async def open(self):
        await asyncio.start_server(self.connected, *self.listen)

    def reset(self):
        for writer in list(self.links):
            reset(writer)

    async def connected(self, reader, writer):
        try:
            up_reader, up_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        self.links |= {writer, up_writer}
        await asyncio.gather(self.pump(reader, up_writer, "up"),
                             self.pump(up_reader, writer, "down"))
        self.links -= {writer, up_writer}

    async def pump(self, reader, writer, direction):
        try:
            while data := await reader.read(65536):
                if self.delay:
                    await asyncio.sleep(self.delay * random.random())
                # Bytes of a silent direction are lost, as behind a partition.
                if direction not in self.silent:
                    writer.write(data)
                    await writer.drain()
        except (ConnectionError, OSError):
            reset(writer)
        except asyncio.CancelledError:
            pass
        writer.close()
