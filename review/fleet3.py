"""A small deployment for the cases 11 to 15: the platform's store, model
engines, a load balancer's view and clients, around real node processes.

Everything listens on loopback addresses and free ports. The stand-ins follow
the protocol page; where that is silent, they behave like sound programs."""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(ROOT, "target", "bin", "turmericpass-node")
HOST = "fleet.example"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run, as lines with the time."""

    def __init__(self, folder):
        self.begun = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w",
                         encoding="utf-8")

    def add(self, text):
        self.file.write(f"{time.monotonic() - self.begun:8.3f} {text}\n")
        self.file.flush()


async def read_head(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.lower()] = value.strip()
    return lines[0], headers


def head_bytes(first_line, headers):
    lines = [first_line] + [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def answer(status, headers=(), body=b""):
    return head_bytes(f"HTTP/1.1 {status} X",
                      list(headers) + [("Content-Length", len(body))]) + body


class Server:
    """An HTTP/1.1 server that can be killed and started again."""

    # After this time it closes an idle channel, if it is set.
    idle_s = None

    def __init__(self, address):
        self.address = address
        self.server = None
        self.writers = set()

    async def open(self):
        ip, port = self.address.rsplit(":", 1)
        self.server = await asyncio.start_server(self.connected, ip, int(port),
                                                 limit=1 << 23)

    def kill(self):
        """Ends all connections and listens no more, as a killed process."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def connected(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers = await asyncio.wait_for(read_head(reader),
                                                       self.idle_s)
                method, target, _ = line.split(" ", 2)
                await self.handle(method, target, headers, reader, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError,
                asyncio.LimitOverrunError, asyncio.TimeoutError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    @staticmethod
    async def body(headers, reader):
        return await reader.readexactly(int(headers.get("content-length", 0)))


class Store(Server):
    """The platform's store: transactions on rows, listings and feeds."""

    def __init__(self, address):
        super().__init__(address)
        self.rows = {}
        self.version = 0
        self.changed = asyncio.Event()

    def now_ms(self):
        return int(time.monotonic() * 1000)

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, table, key, value):
        """A write of the operator or of an engine."""
        self.version += 1
        self.rows[table, "", key] = (value, self.version)
        self.notify()

    def row(self, name):
        value, version = self.rows[name]
        row = {"table": name[0], "part": name[1], "key": name[2],
               "row_version": version}
        if value is None:
            row["deleted"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        return row

    def reply(self, **fields):
        return dict(fields, row_version=self.version, now_ms=self.now_ms())

    def transact(self, change):
        for each in change["expected_rev"]:
            name = each["table"], each["part"], each["key"]
            value, version = self.rows.get(name, (None, 0))
            if (0 if value is None else version) != each["row_version"]:
                names = [(e["table"], e["part"], e["key"])
                         for e in change["expected_rev"]]
                return 412, self.reply(rows=[
                    self.row(n) for n in names
                    if self.rows.get(n, (None, 0))[0] is not None])
        self.version += 1
        for each in change["writes"]:
            self.rows[each["table"], each["part"], each["key"]] = (
                base64.b64decode(each["value"]), self.version)
        for each in change["remove"]:
            self.rows[each["table"], each["part"], each["key"]] = (
                None, self.version)
        self.notify()
        return 200, self.reply()

    async def feed(self, query):
        end = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            changed = self.changed
            found = sorted((version, name) for name, (_, version)
                           in self.rows.items()
                           if name[0] == query["table"]
                           and version > int(query["after"]))
            left = end - time.monotonic()
            if found or left <= 0:
                return 200, self.reply(rows=[self.row(n) for _, n in found])
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def list_rows(self, query):
        first, last = query.get("from", ""), query.get("to", "")
        found = sorted(n for n, (value, _) in self.rows.items()
                       if value is not None and n[0] == query["table"]
                       and n[1] == query.get("part", "") and n[2] >= first
                       and (not last or n[2] < last))
        limit = min(int(query.get("limit", 500)), 500)
        rows, size = [], 0
        for name in found[:limit]:
            row = self.row(name)
            size += len(row["value"])
            # An answer holds 1 MB at most.
            if rows and size > 1_000_000:
                break
            rows.append(row)
        return 200, self.reply(rows=rows, truncated=len(found) > len(rows))

    async def handle(self, method, target, headers, reader, writer):
        body = await self.body(headers, reader)
        path, _, text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(text, keep_blank_values=True))
        if path == "/rows-tx":
            await asyncio.sleep(0.005)
            status, fields = self.transact(json.loads(body))
        elif path == "/rows-feed":
            status, fields = await self.feed(query)
        else:
            status, fields = self.list_rows(query)
        writer.write(answer(status, [("Content-Type", "application/json")],
                            json.dumps(fields).encode()))


class Engine(Server):
    """A model engine that streams numbered events."""

    def __init__(self, fleet, name, service, address, slots, pause_s):
        super().__init__(address)
        self.fleet, self.name, self.service = fleet, name, service
        self.slots, self.pause_s = slots, pause_s
        self.running = {}
        self.born = int(time.time() * 1000)
        self.task = None

    def entry(self, state="ready"):
        return json.dumps({
            "service": self.service, "address": self.address, "zone": "z-a",
            "version": "v1", "slots": self.slots, "state": state, "cold_ms": 0,
            "sequence": int(time.time() * 1000), "born": self.born}).encode()

    def register(self, state="ready"):
        self.fleet.store.put("servers", self.name, self.entry(state))

    async def start(self):
        """A new lifetime: it listens, registers and beats."""
        self.born = int(time.time() * 1000)
        self.running = {}
        await self.open()
        self.register()

    def kill(self):
        self.fleet.record.add(f"engine {self.name} crashes with "
                              f"{sorted(self.running)} running")
        super().kill()

    async def handle(self, method, target, headers, reader, writer):
        request = headers.get("request-id", "")
        stamp = [("Request-Id", request), ("Server-Stamp", f"s.{self.name}"),
                 ("Server-Load", f"{len(self.running)},0,{self.slots}")]
        if method == "GET":
            writer.write(answer(200, [("Instance-Id", self.name)]))
            return
        body = await self.body(headers, reader)
        if headers.get("expect-instance", self.name) != self.name:
            writer.write(answer(421, stamp))
            return
        if len(self.running) >= self.slots:
            writer.write(answer(503, stamp + [("Not-Run", "1")]))
            return
        lifetime = self.born
        first = int(headers.get("last-event-id", -1)) + 1
        self.running[request] = first
        self.fleet.record.add(f"engine {self.name} runs {request} from event "
                              f"{first}")
        self.fleet.runs.append((time.monotonic(), self.name, request, first))
        try:
            await self.run(request, first, body, stamp, writer)
        finally:
            if self.born == lifetime:
                self.running.pop(request, None)

    async def run(self, request, first, body, stamp, writer):
        writer.write(head_bytes("HTTP/1.1 200 OK", stamp + [
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked")]))
        for number in range(first, self.fleet.events):
            await asyncio.sleep(self.pause_s)
            event = f"id: {number}\ndata: {request}-{number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            self.running[request] = number
        writer.write(b"0\r\n\r\n")
        self.fleet.completed.append(time.monotonic())
        self.fleet.record.add(f"engine {self.name} has completed {request}")


def free_ports(ips, count):
    """Ports that are free on each of the addresses."""
    while True:
        held, ports = [], []
        try:
            for _ in range(count):
                port = random.randint(20000, 60000)
                for ip in ips:
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        probe = socket.socket(socket.AF_INET, kind)
                        held.append(probe)
                        probe.bind((ip, port))
                ports.append(port)
            return ports
        except OSError:
            pass
        finally:
            for probe in held:
                probe.close()


class Node:
    """One process of the product, with the settings of the template."""

    def __init__(self, fleet, name, ip, ports, zone="z-a"):
        self.fleet, self.name, self.ip, self.zone = fleet, name, ip, zone
        self.front, self.ready, self.control, self.peer, self.metrics = ports
        self.settings = os.path.join(fleet.folder, f"{name}.toml")
        self.process = None
        self.store_address = fleet.store.address

    def write_settings(self):
        seeds = [f"{n.ip}:{n.control}" for n in self.fleet.nodes[:3]]
        with open(self.settings, "w", encoding="utf-8") as out:
            out.write(
                f'node = "{self.name}"\nzone = "{self.zone}"\nip = "{self.ip}"\n'
                f'front = "{self.ip}:{self.front}"\n'
                f'ready = "{self.ip}:{self.ready}"\n'
                f'control = "{self.ip}:{self.control}"\n'
                f"peer_port = {self.peer}\ncpu_share = 0.5\n"
                f"metrics_port = {self.metrics}\nseeds = {json.dumps(seeds)}\n"
                f'store = "{self.store_address}"\n'
                "store_writes_per_s = 800\nstore_reads_per_s = 2000\n"
                "store_row_bytes = 65536\nkeep_jobs_s = 120\nstop_time_s = 8\n"
                'refuse_stale_keys = ""\nstale_keys_ms = ""\n'
                "hedge_share = 0.0\nhedge_min_delay_ms = 20\n"
                "hedge_free_slots = 0.2\n")

    def start(self):
        self.write_settings()
        with open(os.path.join(self.fleet.logs, f"{self.name}.log"), "ab") as log:
            self.process = subprocess.Popen(
                [PROGRAM], stdout=log, stderr=log, cwd=ROOT,
                env={"PATH": os.environ.get("PATH", ""),
                     "TURMERICPASS_CONFIG": self.settings})
        self.fleet.record.add(f"node {self.name} starts")

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.fleet.record.add(f"node {self.name} gets "
                                  f"{signal.Signals(number).name}")
            self.process.send_signal(number)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process:
            self.process.wait()


class Answer:
    def __init__(self, status, headers, body, complete):
        self.status, self.headers = status, headers
        self.body, self.complete = body, complete


async def read_answer(reader):
    line, headers = await read_head(reader)
    status, body = int(line.split(" ")[1]), b""
    if "chunked" not in headers.get("transfer-encoding", ""):
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        return Answer(status, headers, body, True)
    try:
        while size := int(await reader.readline(), 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
    except (asyncio.IncompleteReadError, ValueError, ConnectionError):
        return Answer(status, headers, body, False)
    return Answer(status, headers, body, True)


class Fleet:
    """A deployment, and the calls of its clients."""

    def __init__(self, folder, nodes=3, events=20):
        self.folder = tempfile.mkdtemp(prefix="case-")
        self.logs = self.folder
        self.record = Record(folder)
        self.events = events
        # When an engine began or completed a run.
        self.runs, self.completed = [], []
        ips = [f"127.9.{random.randint(1, 250)}.{n + 1}" for n in range(nodes)]
        self.ip = f"127.8.{random.randint(1, 250)}.1"
        self.store = Store(f"{self.ip}:{free_ports([self.ip], 1)[0]}")
        self.nodes, self.engines = [], []
        ports = free_ports(ips, 5)
        for number, ip in enumerate(ips):
            self.nodes.append(Node(self, f"front-{number + 1}", ip, ports))

    def add_engine(self, name, service, slots=8, pause_s=0.03):
        address = f"{self.ip}:{free_ports([self.ip], 1)[0]}"
        self.engines.append(Engine(self, name, service, address, slots, pause_s))
        return self.engines[-1]

    def config(self, version, routes, services):
        self.store.put("op", "config", json.dumps({
            "version": version, "routes": routes,
            "services": [{"name": name, "health_path": "/healthz",
                          "max_conns": 230} for name in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}}).encode())

    async def start(self):
        await self.store.open()
        for engine in self.engines:
            await engine.start()
        for node in self.nodes:
            node.start()
        for node in self.nodes:
            for _ in range(100):
                got = await self.call(node, "GET", "/readyz", port=node.ready,
                                      quiet=True)
                if got and got.status == 200:
                    break
                await asyncio.sleep(0.1)
            else:
                raise RuntimeError(f"{node.name} does not become ready")
        # Traffic starts some seconds after the machines.
        await asyncio.sleep(3)

    def end(self):
        for node in self.nodes:
            node.end()

    async def call(self, node, method, target, headers=(), body=b"", port=None,
                   limit_s=6.0, quiet=False):
        """One call on a new channel; None if there is no answer."""
        async def exchange():
            reader, writer = await asyncio.open_connection(
                node.ip, port or node.front, limit=1 << 23)
            try:
                writer.write(head_bytes(
                    f"{method} {target} HTTP/1.1",
                    [("Host", HOST), ("Content-Length", len(body)),
                     ("Connection", "close")] + list(headers)) + body)
                return await read_answer(reader)
            finally:
                writer.close()
        try:
            got = await asyncio.wait_for(exchange(), limit_s)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
                ValueError):
            got = None
        if not quiet:
            what = (f"{got.status} {got.body[:200]!r}"
                    f"{'' if got.complete else ' (incomplete)'}" if got
                    else "no answer")
            self.record.add(f"{node.name} {method} {target} -> {what}")
        return got

    async def submit(self, node, path, job, items, headers=()):
        """Submits a batch submission with these items; returns the answer."""
        body = json.dumps({"items": [
            {"id": item, "path": f"{path}{item}",
             "headers": {"Model": "m", "Token-Usage": "300,172",
                         "Prompt-Prefix": f"5c1e07a2:100,{item}:200"},
             "body": base64.b64encode(item.encode()).decode(), "tokens": 472}
            for item in items]}).encode()
        return await self.call(node, "POST", path + job, [
            ("Request-Id", job), ("Content-Type", "application/json"),
            ("Deadline-Ms", 4000)] + list(headers), body)

    async def results(self, node, job, after=0):
        got = await self.call(node, "GET", f"/lots/{job}?after={after}")
        return json.loads(got.body) if got and got.status == 200 else None

    def output(self, item):
        return "\n".join(f"{item}-{n}" for n in range(self.events))


def main(folder, case):
    """Runs a case: 1 if the rule was broken, 0 if it held, 2 if not run."""
    if not os.path.exists(PROGRAM):
        print(f"there is no {PROGRAM}")
        return 2
    fleet = None

    async def run():
        nonlocal fleet
        fleet = await case.setup(folder)
        try:
            await fleet.start()
            return await case.run(fleet)
        finally:
            fleet.end()
    try:
        broken = asyncio.new_event_loop().run_until_complete(
            asyncio.wait_for(run(), 115))
    except Exception as error:  # The case could not run.
        print(f"the case could not run: {error!r}")
        return 2
    for line in broken:
        fleet.record.add(f"BROKEN {line}")
        print(f"BROKEN {line}")
    if not broken:
        fleet.record.add("the rule was kept")
        print("the rule was kept")
    if os.environ.get("KEEP_LOGS"):
        print(f"logs: {fleet.folder}")
    else:
        subprocess.run(["rm", "-r", fleet.folder], check=False)
    return 1 if broken else 0


def exit_with(status):
    sys.stdout.flush()
    # Connections of the stand-ins need no orderly end.
    os._exit(status)
