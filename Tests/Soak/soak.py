#!/usr/bin/env python3
"""Runs several nodes as separate processes, injects faults from outside them
and checks the promises from what callers and backend servers see.

usage: soak.py NODE_PROGRAM --seed N [--seconds S] [--nodes N] [--endless N]
               [--broken N] [--logs DIR]

Exit status 0 if every promise was kept, 1 if one was broken."""

import argparse
import asyncio
import base64
import json
import os
import random
import signal
import subprocess
import tempfile
import time

from standins import (BROKEN_KINDS, ENDLESS_KINDS, Engine, Proxy, Store,
                      whole_output)

FRONT, READY, CONTROL, PEER, METRICS = 7001, 7002, 7003, 7004, 7005
HOST = "soak.example"
NOT_RUN = {429, 503, 408, 421}
# The memory of the smallest VM, in MB.
VM_MB = 160
# A job is finished this long after the last fault; restarts take about two
# seconds, takeovers and pauses a few more.
SETTLE_S = 40.0
DEADLINE_S = 5.0


def config(version):
    route = {"host": HOST, "service": "model", "max_attempts": 3,
             "timeout_ms": 5000, "target_latency_ms": 300}
    return json.dumps({
        "version": version,
        "routes": [
            dict(route, name="stream", path_prefix="/stream/",
                 kind="streaming", resumable=True),
            dict(route, name="once", path_prefix="/plain/once/",
                 kind="non_idempotent"),
            dict(route, name="again", path_prefix="/plain/again/",
                 kind="idempotent"),
            dict(route, name="jobs", path_prefix="/jobs/", kind="batch",
                 run_target_ms=18000, retention_s=600, max_count=1000000)],
        "services": [{"name": "model", "health_path": "/healthz",
                      "max_conns": 200}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    }).encode()


class Node:
    """One process of the product, started again whenever it ends."""

    def __init__(self, program, number, store_port, logs):
        self.ip = f"127.0.1.{number}"
        self.store_port = store_port
        self.settings = os.path.join(logs, f"node-{number}.toml")
        self.log_path = os.path.join(logs, f"node-{number}.log")
        self.program = program
        self.process = None
        self.wanted = True

    def start(self):
        with open(self.settings, "w", encoding="utf-8") as out:
            out.write(f'node = "n{self.ip}"\nzone = "z"\nip = "{self.ip}"\n'
                      f'front = "{self.ip}:{FRONT}"\n'
                      f'ready = "{self.ip}:{READY}"\n'
                      f'control = "{self.ip}:{CONTROL}"\n'
                      f"peer_port = {PEER}\nmetrics_port = {METRICS}\n"
                      'seeds = ["127.0.1.1:%d"]\n' % CONTROL +
                      f'store = "127.0.0.1:{self.store_port}"\n'
                      "store_writes_per_s = 800\nstore_reads_per_s = 2000\n"
                      "store_row_bytes = 65536\nkeep_jobs_s = 120\nstop_time_s = 8\n")
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen([self.program, self.settings],
                                            stdout=log, stderr=log)

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def resident_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/statm", encoding="ascii") as f:
                return int(f.read().split()[1]) * 4096 / 1e6
        except (OSError, IndexError):
            return 0.0

    async def keep(self):
        while self.wanted:
            if self.process is None or self.process.poll() is not None:
                self.start()
            await asyncio.sleep(0.2)


class Soak:
    def __init__(self, options):
        self.rng = random.Random(options.seed)
        self.options = options
        self.faults = []
        self.broken = []
        self.runs = {}
        self.sent = 0
        self.served = 0
        self.refused = 0
        self.jobs = {}
        self.peak_mb = 0.0

    def fail(self, what):
        self.broken.append(what)
        print(f"BROKEN at {time.monotonic() - self.begun:.2f} s: {what}",
              flush=True)

    async def call(self, node, method, target, headers, body=b""):
        """Returns status, headers and body of one call, or None."""
        async def exchange():
            reader, writer = await asyncio.open_connection(node.ip, FRONT)
            try:
                lines = {"Host": HOST, "Content-Length": str(len(body)),
                         "Connection": "close", **headers}
                head = f"{method} {target} HTTP/1.1\r\n" + "".join(
                    f"{name}: {value}\r\n" for name, value in lines.items())
                writer.write(head.encode() + b"\r\n" + body)
                return await read_answer(reader)
            finally:
                writer.close()
        try:
            return await asyncio.wait_for(exchange(), DEADLINE_S + 1)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
                ValueError):
            return None

    async def online(self):
        while self.begun + self.options.seconds > time.monotonic():
            kind = self.rng.choice(["stream/", "plain/once/", "plain/again/"])
            request_id = f"{self.rng.getrandbits(64):016x}"
            self.sent += 1
            answer = await self.call(
                self.rng.choice(self.nodes), "POST", f"/{kind}{request_id}",
                {"Request-Id": request_id, "Deadline-Ms": "5000"}, b"body")
            await self.check_online(kind, request_id, answer)
            await asyncio.sleep(self.rng.random() * 0.05)

    async def check_online(self, kind, request_id, answer):
        runs = self.runs.get(request_id, [])
        if kind == "plain/once/" and len(runs) > 1:
            self.fail(f"request {request_id} ran {len(runs)} times")
        if answer is None:
            return
        status, headers, body, whole = answer
        if not 200 <= status < 600 or "x-note" in headers or "x note" in headers:
            self.fail(f"request {request_id} has a broken answer: {answer!r}")
        if status in NOT_RUN:
            self.refused += 1
            if runs and kind == "plain/once/":
                self.fail(f"request {request_id} was refused and has run")
        elif status == 200 and whole:
            self.served += 1
            if "server-stamp" not in headers:
                self.fail(f"request {request_id} has no server's answer")
            if kind == "stream/":
                data = "\n".join(line[6:] for line in body.decode().split("\n")
                                 if line.startswith("data: "))
                if data != whole_output(request_id):
                    self.fail(f"stream {request_id} is not whole: {data!r}")
            elif body != b"plain body":
                self.fail(f"answer {request_id} has other bytes: {body!r}")

    async def submit(self):
        while self.begun + self.options.seconds > time.monotonic():
            job = f"{self.rng.getrandbits(64):016x}"
            items = [f"{self.rng.getrandbits(64):016x}"
                     for _ in range(self.rng.randint(1, 8))]
            body = json.dumps({"items": [
                {"id": item, "path": f"/jobs/{item}", "headers": {"Model": "m"},
                 "body": base64.b64encode(item.encode()).decode(),
                 "tokens": 100} for item in items]}).encode()
            statuses = []
            for _ in range(3):
                answer = await self.call(
                    self.rng.choice(self.nodes), "POST", f"/jobs/{job}",
                    {"Request-Id": job, "Deadline-Ms": "4000"}, body)
                statuses.append(answer[0] if answer else None)
                if statuses[-1] == 202:
                    break
            self.jobs[job] = {"items": items, "statuses": statuses, "read": []}
            await asyncio.sleep(0.2 + self.rng.random() * 0.6)

    async def read(self, job, node):
        """Reads new results of a job; checks that old ones stay."""
        known = self.jobs[job]
        after = self.rng.randint(0, len(known["read"]))
        answer = await self.call(node, "GET", f"/lots/{job}?after={after}", {})
        if answer is None or answer[0] in NOT_RUN or answer[0] in (502, 504):
            return
        if answer[0] != 200:
            self.fail(f"job {job} was accepted and is answered {answer[0]}")
            return
        page = json.loads(answer[2])
        if page["total"] != len(known["items"]):
            self.fail(f"job {job} has a wrong total")
        for position, result in enumerate(page["results"], after):
            if position < len(known["read"]):
                if known["read"][position] != result:
                    self.fail(f"job {job} position {position} has changed")
            else:
                known["read"].append(result)

    async def readers(self):
        while not self.over:
            accepted = [job for job, known in list(self.jobs.items())
                        if known["statuses"][-1] == 202
                        and len(known["read"]) < len(known["items"])]
            if accepted:
                await self.read(self.rng.choice(accepted),
                                self.rng.choice(self.nodes))
            await asyncio.sleep(0.05)

    def check_jobs(self):
        for job, known in self.jobs.items():
            if all(status in NOT_RUN for status in known["statuses"]):
                for item in known["items"]:
                    if item in self.runs:
                        self.fail(f"job {job} was refused and item {item} ran")
            if known["statuses"][-1] != 202:
                continue
            listed = [result["id"] for result in known["read"]]
            if sorted(listed) != sorted(known["items"]):
                self.fail(f"job {job}: {len(set(listed))} of "
                          f"{len(known['items'])} items are listed, "
                          f"{len(listed) - len(set(listed))} twice")
            for result in known["read"]:
                if (result["state"] != "succeeded" or
                        result["output"] != whole_output(result["id"])):
                    self.fail(f"job {job} item {result['id']} is not whole")

    async def fault(self):
        """Injects one fault and takes it back; faults overlap."""
        rng = self.rng
        kind = rng.choice(["kill", "kill_all", "stop", "pause", "store_down",
                           "store_loses", "store_silent", "store_delayed",
                           "store_reset", "engine_crash", "engine_silent",
                           "engine_reset", "engine_drains", "config"])
        span = rng.uniform(0.3, 4.0)
        self.faults.append(kind)
        node, engine = rng.choice(self.nodes), rng.randrange(len(self.engines))
        proxy = self.store_proxies[self.nodes.index(node)]
        if kind == "kill":
            node.signal(signal.SIGKILL)
        elif kind == "kill_all":
            for each in self.nodes:
                each.signal(signal.SIGKILL)
        elif kind == "stop":
            node.signal(signal.SIGTERM)
        elif kind == "pause":
            node.signal(signal.SIGSTOP)
            await asyncio.sleep(span)
            node.signal(signal.SIGCONT)
        elif kind == "store_down":
            self.store.down = True
            await asyncio.sleep(span)
            self.store.down = False
        elif kind == "store_loses":
            self.store.lose = 0.5
            await asyncio.sleep(span)
            self.store.lose = 0.0
        elif kind == "store_silent":
            direction = rng.choice(["up", "down"])
            proxy.silent.add(direction)
            await asyncio.sleep(span)
            proxy.silent.discard(direction)
            proxy.reset()
        elif kind == "store_delayed":
            proxy.delay = 0.3
            await asyncio.sleep(span)
            proxy.delay = 0.0
        elif kind == "store_reset":
            proxy.reset()
        elif kind == "engine_reset":
            self.engine_proxies[engine].reset()
        elif kind == "engine_silent":
            self.engine_proxies[engine].silent.add("down")
            await asyncio.sleep(span)
            self.engine_proxies[engine].silent.discard("down")
            self.engine_proxies[engine].reset()
        elif kind == "engine_crash":
            self.engines[engine].crash()
            await asyncio.sleep(span)
            if self.engines[engine].server is None:
                await self.engines[engine].open()
        elif kind == "engine_drains":
            await self.register(engine, "draining")
            await asyncio.sleep(span)
            await self.register(engine, "ready")
        elif kind == "config":
            self.version += rng.randint(1, 3)
            await self.store.put("op", "", "config", config(self.version))

    async def inject(self):
        running = set()
        while self.begun + self.options.seconds > time.monotonic():
            await asyncio.sleep(self.rng.uniform(0.1, 1.5))
            running.add(asyncio.ensure_future(self.fault()))
        await asyncio.gather(*running)

    async def switch_answers(self, switch, kinds, count):
        """Lets count servers at a time answer in one of kinds, each for a
        while. The switch is the attribute of the server that sets it."""
        rng = random.Random(self.options.seed)
        while self.begun + self.options.seconds > time.monotonic():
            for engine in rng.sample(self.engines, count):
                setattr(engine, switch, rng.choice(kinds))
            await asyncio.sleep(rng.uniform(0.5, 3.0))
            for engine in self.engines:
                setattr(engine, switch, None)
            await asyncio.sleep(rng.uniform(0.1, 1.0))

    async def watch_memory(self):
        """Checks that no node takes more than a VM has."""
        while self.begun + self.options.seconds > time.monotonic():
            for node in self.nodes:
                held = node.resident_mb()
                self.peak_mb = max(self.peak_mb, held)
                if held > VM_MB:
                    self.fail(f"node {node.ip} holds {held:.0f} MB")
            await asyncio.sleep(0.05)

    async def register(self, number, state):
        engine, proxy = self.engines[number], self.engine_proxies[number]
        entry = json.loads(engine.entry(state))
        entry["address"] = f"{proxy.listen[0]}:{proxy.listen[1]}"
        await self.store.put("servers", "", engine.name,
                             json.dumps(entry).encode())

    async def setup(self):
        self.store = Store("127.0.0.1", 7100, self.rng)
        await self.store.open()
        self.engines, self.engine_proxies = [], []
        for number in range(4):
            engine = Engine(f"i-{number}", "model", "127.0.0.1", 7110 + number,
                            6, self.runs)
            await engine.open()
            proxy = Proxy("127.0.0.1", 7130 + number, "127.0.0.1",
                          7110 + number)
            await proxy.open()
            self.engines.append(engine)
            self.engine_proxies.append(proxy)
            await self.register(number, "ready")
        self.version = 1
        await self.store.put("op", "", "config", config(1))
        self.store_proxies, self.nodes = [], []
        for number in range(1, self.options.nodes + 1):
            proxy = Proxy("127.0.0.1", 7150 + number, "127.0.0.1", 7100)
            await proxy.open()
            self.store_proxies.append(proxy)
            self.nodes.append(Node(self.options.program, number, 7150 + number,
                                   self.options.logs))

    async def run(self):
        await self.setup()
        keepers = [asyncio.ensure_future(node.keep()) for node in self.nodes]
        try:
            await asyncio.sleep(3)
            self.begun = time.monotonic()
            self.over = False
            readers = [asyncio.ensure_future(self.readers()) for _ in range(3)]
            for switch, kinds, count in (
                    ("endless", ENDLESS_KINDS, self.options.endless),
                    ("broken", BROKEN_KINDS, self.options.broken)):
                if count:
                    keepers.append(asyncio.ensure_future(
                        self.switch_answers(switch, kinds, count)))
            await asyncio.gather(self.inject(), self.submit(),
                                 self.watch_memory(),
                                 *(self.online() for _ in range(6)))
            await self.settle()
            self.over = True
            await asyncio.gather(*readers)
            self.check_jobs()
        finally:
            for node in self.nodes:
                node.wanted = False
            await asyncio.gather(*keepers)
            for node in self.nodes:
                node.signal(signal.SIGCONT)
                node.signal(signal.SIGKILL)
                node.process.wait()
        print(f"seed {self.options.seed}: {len(self.faults)} faults, "
              f"{self.served} of {self.sent} requests served, "
              f"{self.refused} refused, {len(self.jobs)} jobs, "
              f"at most {self.peak_mb:.0f} MB a node, "
              f"{len(self.broken)} promises broken", flush=True)
        return 1 if self.broken else 0

    async def settle(self):
        end = time.monotonic() + SETTLE_S
        while time.monotonic() < end and any(
                known["statuses"][-1] == 202 and
                len(known["read"]) < len(known["items"])
                for known in self.jobs.values()):
            await asyncio.sleep(0.2)


async def read_answer(reader):
    """Returns status, headers, body and whether the answer is whole."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    headers = {name.lower(): value.strip() for name, _, value in
               (line.partition(":") for line in lines[1:] if ":" in line)}
    status = int(lines[0].split(" ")[1])
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
        return status, headers, body, True
    body = b""
    try:
        while size := int(await reader.readline(), 16):
            body += await reader.readexactly(size)
            await reader.readline()
    except (asyncio.IncompleteReadError, ValueError, ConnectionError):
        return status, headers, body, False
    return status, headers, body, True


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("program")
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--nodes", type=int, default=4)
    parser.add_argument("--endless", type=int, default=0, metavar="N",
                        help="N servers at a time send without end")
    parser.add_argument("--broken", type=int, default=0, metavar="N",
                        help="N servers at a time give broken answers")
    parser.add_argument("--logs")
    options = parser.parse_args()
    options.logs = options.logs or tempfile.mkdtemp(prefix="soak-")
    os.makedirs(options.logs, exist_ok=True)
    status = asyncio.new_event_loop().run_until_complete(Soak(options).run())
    if status:
        print(f"logs: {options.logs}", flush=True)
    # The stand-ins' connections need no orderly end.
    os._exit(status)


if __name__ == "__main__":
    main()
