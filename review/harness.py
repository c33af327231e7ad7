"""Stand-ins and helpers of the review's cases: the platform's store, model
engines, clients, and the node processes. Everything runs on loopback addresses
and the real clock."""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(ROOT, "target", "bin", "turmericpass-node")
HOST = "shop.example"
HELD, BROKEN, NOT_RUN = 0, 1, 2

# The figures of sites/gvp-serving.toml.
HEARTBEAT_S = 1.2
COMPLETION_S = 18.0
CONTACT_S = 3.0
# Before the end, nothing may have run for this long.
CALM_S = 5.0


class CannotRun(Exception):
    """The case could not be set up."""


def new_id(rng):
    return f"{rng.getrandbits(64):016x}"


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.out = open(os.path.join(folder, "record.txt"), "w",
                        encoding="utf-8")
        self.begun = time.monotonic()

    def now(self):
        return time.monotonic() - self.begun

    def write(self, text):
        self.out.write(f"{self.now():8.3f} {text}\n")
        self.out.flush()


# ---------------------------------------------------------------- HTTP


async def read_message(reader):
    """Reads a message with a Content-Length or a chunked body. Returns the
    first line, the headers, the body and whether the body is whole."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        try:
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                body += await reader.readexactly(size)
                await reader.readexactly(2)
                if size == 0:
                    return lines[0], headers, body, True
        except (asyncio.IncompleteReadError, ValueError, ConnectionError):
            return lines[0], headers, body, False
    length = int(headers.get("content-length", 0))
    try:
        return lines[0], headers, await reader.readexactly(length), True
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        return lines[0], headers, getattr(error, "partial", b""), False


def answer_bytes(status, headers, body):
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return head.encode("latin-1") + b"\r\n" + body


def reset(writer):
    """Ends a channel with a reset."""
    link = writer.get_extra_info("socket")
    if link is not None:
        link.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                        struct.pack("ii", 1, 0))
    writer.transport.abort()


class HttpServer:
    """Serves connections, one request at a time on each."""

    def __init__(self, address):
        self.address = address
        self.port = 0
        self.server = None
        self.writers = set()

    async def open(self, port=0):
        self.server = await asyncio.start_server(
            self._connected, self.address, port, limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]

    def close(self):
        """Stops listening and resets every connection."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            reset(writer)

    async def _connected(self, reader, writer):
        if self.server is None:
            reset(writer)
            return
        self.writers.add(writer)
        try:
            while True:
                line, headers, body, whole = await read_message(reader)
                if not whole:
                    return
                method, target, _ = line.split(" ", 2)
                await self.handle(method, target, headers, body, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError,
                ConnectionError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, method, target, headers, body, writer):
        raise NotImplementedError


async def call(ip, port, method, target, headers, body=b"", limit=5.5):
    """Makes one call on a new channel. Returns status, headers, body and
    whether the body is whole, or None without an answer."""

    async def exchange():
        reader, writer = await asyncio.open_connection(ip, port, limit=1 << 22)
        try:
            lines = {"Host": HOST, "Content-Length": str(len(body)), **headers}
            head = f"{method} {target} HTTP/1.1\r\n" + "".join(
                f"{name}: {value}\r\n" for name, value in lines.items())
            writer.write(head.encode("latin-1") + b"\r\n" + body)
            line, answer, content, whole = await read_message(reader)
            return int(line.split(" ")[1]), answer, content, whole
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), limit)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
            ValueError):
        return None


# ---------------------------------------------------------------- platform


class Store(HttpServer):
    """The platform's store of rows, as PROTOCOL.md tells it."""

    TXN_S = 0.005
    READ_S = 0.004

    def __init__(self, address, record):
        super().__init__(address)
        self.record = record
        self.rows = {}
        self.version = 0
        self.changed = asyncio.Condition()

    async def write_row(self, table, key, value, part=""):
        """Writes a row for the operator or an engine; None removes it."""
        self.version += 1
        self.rows[table, part, key] = (value, self.version)
        await self._notify()

    async def _notify(self):
        async with self.changed:
            self.changed.notify_all()

    @staticmethod
    def now_ms():
        return int(time.monotonic() * 1000)

    def _row(self, name):
        value, version = self.rows[name]
        row = {"table": name[0], "part": name[1], "key": name[2],
               "row_version": version}
        if value is None:
            row["deleted"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        return row

    def _present(self, name):
        return self.rows.get(name, (None, 0))[0] is not None

    def _page(self, rows, truncated=False):
        return {"rows": rows, "truncated": truncated,
                "row_version": self.version, "now_ms": self.now_ms()}

    async def _transact(self, change):
        names = [(each["table"], each.get("part", ""), each["key"])
                 for each in change.get("expected_rev", [])]
        for name, each in zip(names, change.get("expected_rev", [])):
            version = self.rows[name][1] if self._present(name) else 0
            if version != each["row_version"]:
                return 412, self._page([self._row(n) for n in names
                                        if self._present(n)])
        writes = change.get("writes", [])
        removals = change.get("remove", [])
        if any(each["table"] in ("op", "servers")
               for each in writes + removals):
            return 403, {}
        self.version += 1
        version = self.version
        for each in writes:
            name = each["table"], each.get("part", ""), each["key"]
            self.rows[name] = (base64.b64decode(each["value"]), version)
        for each in removals:
            name = each["table"], each.get("part", ""), each["key"]
            if self._present(name):
                self.rows[name] = (None, version)
        await self._notify()
        return 200, {"row_version": version, "now_ms": self.now_ms()}

    async def _feed(self, query):
        after, table = int(query["after"]), query["table"]
        end = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            found = sorted((n for n, (_, version) in self.rows.items()
                            if n[0] == table and version > after),
                           key=lambda n: self.rows[n][1])
            left = end - time.monotonic()
            if found or left <= 0:
                return 200, self._page([self._row(n) for n in found])
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    def _get(self, query):
        first, last = query.get("from", ""), query.get("to", "")
        found = sorted(n for n in self.rows if self._present(n)
                       and n[0] == query["table"]
                       and n[1] == query.get("part", "") and n[2] >= first
                       and (not last or n[2] < last))
        limit = min(500, int(query.get("limit", 500)))
        return 200, self._page([self._row(n) for n in found[:limit]],
                               len(found) > limit)

    async def handle(self, method, target, headers, body, writer):
        path, _, text = target.partition("?")
        query = {name: values[0] for name, values in urllib.parse.parse_qs(
            text, keep_blank_values=True).items()}
        wait = self.READ_S
        if path == "/rows-tx":
            status, answer = await self._transact(json.loads(body))
            wait = self.TXN_S
        elif path == "/rows-feed":
            status, answer = await self._feed(query)
        elif path == "/rows-get":
            status, answer = self._get(query)
        else:
            status, answer = 404, {}
        await asyncio.sleep(wait)
        writer.write(answer_bytes(status, {"Content-Type": "application/json"},
                                  json.dumps(answer).encode()))


# ---------------------------------------------------------------- engines


def whole_output(item, events):
    return "\n".join(f"{item}-{number}" for number in range(events))


class Engine(HttpServer):
    """A model engine. It streams events, continues after Last-Event-Id, and
    drops a request when its channel closes."""

    def __init__(self, name, service, address, store, record, slots=8,
                 events=40, pause_s=0.02, zone="z1"):
        super().__init__(address)
        self.name, self.service, self.zone = name, service, zone
        self.store, self.record = store, record
        self.slots, self.events, self.pause_s = slots, events, pause_s
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.busy = 0
        self.peak = 0
        self.alive = False
        # The requests that run here, and how each run began and ended.
        self.running = set()
        self.runs = []
        self.beat = None

    async def start(self):
        await self.open()
        self.alive = True
        await self._register()
        self.beat = asyncio.ensure_future(self._beats())

    async def _register(self):
        self.sequence += 1
        await self.store.write_row("servers", self.name, json.dumps({
            "service": self.service, "address": f"{self.address}:{self.port}",
            "zone": self.zone, "version": "v1", "slots": self.slots,
            "state": self.state, "cold_ms": 0, "sequence": self.sequence,
            "born": self.born}).encode())

    async def _beats(self):
        while self.alive:
            await asyncio.sleep(HEARTBEAT_S)
            if self.alive:
                await self._register()

    async def crash(self):
        """Ends the engine for good. Its entry lapses after three heartbeats."""
        self.alive = False
        self.record.write(f"engine {self.name} crashes for good")
        self.close()
        await asyncio.sleep(3 * HEARTBEAT_S)
        await self.store.write_row("servers", self.name, None)
        self.record.write(f"entry of engine {self.name} has lapsed")

    async def handle(self, method, target, headers, body, writer):
        request = headers.get("request-id", "")
        echo = {"Request-Id": request, "Server-Stamp": f"stamp-{self.name}",
                "Server-Load": f"{min(self.busy, self.slots)},"
                               f"{max(0, self.busy - self.slots)},{self.slots}"}
        if method == "GET":
            writer.write(answer_bytes(200, {"Instance-Id": self.name}, b""))
            return
        if headers.get("expect-instance", self.name) != self.name:
            writer.write(answer_bytes(421, {"Instance-Id": self.name}, b""))
            return
        if self.busy >= self.slots:
            writer.write(answer_bytes(503, dict(echo, **{"Not-Run": "1"}), b""))
            return
        self.busy += 1
        self.peak = max(self.peak, self.busy)
        run = {"id": request, "from": self.record.now(), "to": None,
               "whole": False}
        self.runs.append(run)
        self.running.add(request)
        self.record.write(f"engine {self.name} begins {request} after event "
                          f"{headers.get('last-event-id', 'none')}")
        try:
            await self._stream(request, headers, echo, writer)
            run["whole"] = True
        finally:
            self.busy -= 1
            self.running.discard(request)
            run["to"] = self.record.now()
            self.record.write(f"engine {self.name} ends {request} "
                              f"{'whole' if run['whole'] else 'broken off'}")

    async def _stream(self, request, headers, echo, writer):
        head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        head += "".join(f"{name}: {value}\r\n" for name, value in echo.items())
        writer.write(head.encode() + b"Transfer-Encoding: chunked\r\n\r\n")
        first = int(headers.get("last-event-id", -1)) + 1
        for number in range(first, self.events):
            await asyncio.sleep(self.pause_s)
            if writer.is_closing():
                raise ConnectionError("the channel is closed")
            event = f"id: {number}\ndata: {request}-{number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


# ---------------------------------------------------------------- nodes


class Node:
    """One process of turmericpass-node, started as the deploy file says."""

    def __init__(self, number, ip, ports, seeds, store, folder, zone="z1"):
        self.ip, self.ports, self.seeds = ip, ports, seeds
        self.number, self.store, self.zone = number, store, zone
        self.settings = os.path.join(folder, f"node-{number}.toml")
        self.log = os.path.join(folder, f"node-{number}.log")
        self.process = None

    @property
    def front(self):
        return self.ports["front"]

    def start(self):
        ports = self.ports
        with open(self.settings, "w", encoding="utf-8") as out:
            out.write(
                f'node = "front-{self.zone}-{self.number}"\n'
                f'zone = "{self.zone}"\nip = "{self.ip}"\n'
                f'front = "{self.ip}:{ports["front"]}"\n'
                f'ready = "{self.ip}:{ports["ready"]}"\n'
                f'control = "{self.ip}:{ports["control"]}"\n'
                f'peer_port = {ports["peer"]}\ncpu_share = 0.5\n'
                f'metrics_port = {ports["metrics"]}\n'
                f'seeds = {json.dumps(self.seeds)}\nstore = "{self.store}"\n'
                "store_writes_per_s = 800\nstore_reads_per_s = 2000\n"
                "store_row_bytes = 65536\nkeep_jobs_s = 120\n"
                "stop_time_s = 8\n")
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                [PROGRAM], cwd=ROOT, stdout=log, stderr=log,
                stdin=subprocess.DEVNULL,
                env={"PATH": os.environ.get("PATH", ""),
                     "TURMERICPASS_CONFIG": self.settings})

    def send_signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        if self.process:
            self.send_signal(signal.SIGCONT)
            self.send_signal(signal.SIGKILL)
            self.process.wait()


def free_ports(ips, names):
    """Returns ports that are free at all addresses."""
    for _ in range(200):
        ports, taken = {}, []
        try:
            for name in names:
                port = random.randrange(20000, 30000)
                for ip in ips:
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        probe = socket.socket(socket.AF_INET, kind)
                        taken.append(probe)
                        probe.bind((ip, port))
                ports[name] = port
            return ports
        except OSError:
            continue
        finally:
            for probe in taken:
                probe.close()
    raise CannotRun("no free ports")


class Fleet:
    """The store, engines and nodes of one case."""

    def __init__(self, case_folder, node_count, seed):
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun(f"{PROGRAM} is missing")
        self.rng = random.Random(seed)
        self.record = Record(case_folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        base = random.randrange(2, 250)
        self.ips = [f"127.{base}.1.{n + 1}" for n in range(node_count)]
        self.store = Store(f"127.{base}.0.1", self.record)
        self.engine_ip = f"127.{base}.2.1"
        self.engines = []
        self.nodes = []

    async def start_store(self):
        await self.store.open()

    async def add_engines(self, service, count, **options):
        for number in range(count):
            engine = Engine(f"i-{service}-{number}", service, self.engine_ip,
                            self.store, self.record, **options)
            await engine.start()
            self.engines.append(engine)

    async def put_config(self, config):
        await self.store.write_row("op", "config", json.dumps(config).encode())
        self.record.write(f"store acknowledges config {config['version']}: "
                          + ", ".join(f"{r['name']}={r['path_prefix']}"
                                      for r in config["routes"]))

    async def start_nodes(self, zones=("z1",)):
        ports = free_ports(self.ips, ("front", "ready", "control", "peer",
                                      "metrics"))
        seeds = [f"{ip}:{ports['control']}" for ip in self.ips[:3]]
        address = f"{self.store.address}:{self.store.port}"
        for number, ip in enumerate(self.ips, 1):
            node = Node(number, ip, ports, seeds, address, self.folder,
                        zones[(number - 1) % len(zones)])
            node.start()
            self.nodes.append(node)
        for _ in range(100):
            await asyncio.sleep(0.1)
            states = [await call(n.ip, n.ports["ready"], "GET", "/readyz", {})
                      for n in self.nodes]
            if all(state and state[0] == 200 for state in states):
                break
        else:
            raise CannotRun("the nodes did not become ready")
        # Traffic starts 10 s after the machines in the site file; peers know
        # each other well before that.
        await asyncio.sleep(3)
        self.record.write(f"{len(self.nodes)} nodes are ready")

    async def submit(self, node, prefix, items, tokens=400, attempts=2):
        """Submits a job as a client does: after anything but a 202 it comes
        again at another node. Returns its id and items, or None if it was
        never accepted."""
        job = new_id(self.rng)
        ids = [new_id(self.rng) for _ in range(items)]
        body = json.dumps({"items": [
            {"id": item, "path": f"{prefix}{number}/{item[:4]}",
             "headers": {"Model": "m", "Token-Usage": "250,150",
                         "Prompt-Prefix": f"9c2e41:100,{item[:8]}:150"},
             "body": base64.b64encode(item.encode()).decode(),
             "tokens": tokens}
            for number, item in enumerate(ids)]}).encode()
        first = self.nodes.index(node)
        for attempt in range(attempts):
            target = self.nodes[(first + attempt) % len(self.nodes)]
            answer = await call(
                target.ip, target.front, "POST", f"{prefix}{job[:6]}",
                {"Request-Id": job, "Deadline-Ms": "4000",
                 "Content-Type": "application/json"}, body)
            status = answer[0] if answer else None
            self.record.write(f"submission {job} ({prefix}, items "
                              f"{' '.join(ids)}) at node {target.number}: "
                              f"{status}")
            if status == 202:
                return job, ids
        return None

    async def read_results(self, job, node, after=0):
        """Returns all listed results of a job, its total and the last status.
        Calls that fail are repeated at another node."""
        results, total, status = [], None, None
        first = self.nodes.index(node)
        for attempt in range(12):
            target = self.nodes[(first + attempt) % len(self.nodes)]
            answer = await call(target.ip, target.front, "GET",
                                f"/lots/{job}?after={after + len(results)}", {})
            status = answer[0] if answer else None
            if status != 200:
                await asyncio.sleep(0.3)
                continue
            page = json.loads(answer[2])
            total = page["total"]
            self.record.write(f"results of {job} from {after + len(results)} "
                              f"at node {target.number}: next {page['next']}")
            if not page["results"]:
                break
            results += page["results"]
        return results, total, status

    def check_calm(self):
        """Raises CannotRun if an engine had an item in the last 5 s: the rule
        on unlisted items does not count then."""
        now = self.record.now()
        if any(run["to"] is None or run["to"] > now - CALM_S
               for engine in self.engines for run in engine.runs):
            raise CannotRun("an engine had an item in the last 5 s")

    def close(self):
        for node in self.nodes:
            node.end()
        for engine in self.engines:
            engine.alive = False
            engine.close()
        self.store.close()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, prefix, kind, **fields):
    base = {"name": name, "host": HOST, "path_prefix": prefix, "kind": kind,
            "timeout_ms": 15000, "target_latency_ms": 400, "priority": 2,
            "max_attempts": 3}
    if kind == "batch":
        base.update(run_target_ms=18000, retention_s=60, max_count=2100000)
    base.update(fields)
    return base


def config(version, routes, services):
    return {"version": version, "routes": routes,
            "services": [{"name": name, "health_path": "/healthz",
                          "max_conns": 230, "protocol": "h1", "tls": False}
                         for name in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


def run_case(folder, node_count, play, limit=110):
    """Runs "play(fleet)", which returns what it found broken, and exits with
    the status of the case."""
    seed = int(os.environ.get("SEED", "1"))
    fleets = []

    async def main():
        fleet = Fleet(folder, node_count, seed)
        fleets.append(fleet)
        await fleet.start_store()
        broken = await asyncio.wait_for(play(fleet), limit)
        for what in broken:
            fleet.record.write(f"BROKEN: {what}")
        if not broken:
            fleet.record.write("the rule held")
        return broken

    def leave(status):
        # A second signal must not interrupt the end of the processes.
        signal.signal(signal.SIGTERM, signal.SIG_IGN)
        signal.signal(signal.SIGINT, signal.SIG_IGN)
        for fleet in fleets:
            fleet.close()
        sys.stdout.flush()
        # Connections of the stand-ins need no orderly end.
        os._exit(status)

    signal.signal(signal.SIGTERM, lambda *_: leave(NOT_RUN))
    signal.signal(signal.SIGINT, lambda *_: leave(NOT_RUN))
    try:
        broken = asyncio.new_event_loop().run_until_complete(main())
    except Exception as error:  # Whatever it is, nothing is known of the rule.
        print(f"the case could not run: {error!r}")
        leave(NOT_RUN)
    for what in broken:
        print(f"BROKEN: {what}")
    if not broken:
        print("the rule held")
    leave(BROKEN if broken else HELD)
