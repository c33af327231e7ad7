"""Starts and stops the stand-ins and daemons that a settings folder names.

Used by the quickstart, the benchmarks and the tests with real processes. All
processes listen on loopback, and only processes started here are ended.
"""

import http.client
import json
import os
import pathlib
import signal
import subprocess
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
ROLES = ("controller", "dispatcher", "batcher", "gateway")
ADMIN_OFFSET = {"gateway": 0, "dispatcher": 1, "batcher": 2, "controller": 3}
START_LIMIT_SECONDS = 20


def read_settings(folder):
    """Merges the TOML files of a folder, in name order, section by section."""
    merged = {}
    for path in sorted(pathlib.Path(folder).glob("*.toml")):
        for section, table in tomllib.loads(path.read_text()).items():
            merged.setdefault(section, {}).update(table)
    return merged


def call(address, method, path, body=None, headers=None, timeout=10):
    """Sends one HTTP request and returns (status, headers, body)."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        if isinstance(body, (dict, list)):
            body = json.dumps(body)
        connection.request(method, path, body, headers or {})
        reply = connection.getresponse()
        return reply.status, dict(reply.getheaders()), reply.read().decode()
    finally:
        connection.close()


class Fleet:
    """The processes of one settings folder."""

    def __init__(self, settings, logs, engine_options=None):
        self.folder = str(settings)
        self.settings = read_settings(settings)
        self.logs = pathlib.Path(logs)
        self.logs.mkdir(parents=True, exist_ok=True)
        self.bin = pathlib.Path(os.environ.get("BIN", ROOT / "build/bin"))
        self.engine_options = engine_options or []
        self.processes = {}
        self.commands = {}

    def launch(self, name, *command):
        """Starts a process under a name of its own."""
        self.commands[name] = command
        log = open(self.logs / f"{name}.log", "ab")
        self.processes[name] = subprocess.Popen(
            [str(word) for word in command],
            stdout=log,
            stderr=log,
            stdin=subprocess.DEVNULL,
        )
        log.close()

    def start_platform(self):
        port = self.settings["platform"]["table"].rsplit(":", 1)[1]
        self.launch("platform", self.bin / "StandInPlatform", "--port", port)
        self.wait_for(self.settings["platform"]["table"], "/stats", "platform")

    def server_command(self, name):
        server = self.settings["servers"][name]
        address, port = server["address"].rsplit(":", 1)
        kind = self.settings["services"][server["service"]]["kind"]
        common = ["--address", address, "--port", port]
        if kind == "plain":
            return [self.bin / "StandInService", *common]
        command = [self.bin / "StandInEngine", *common]
        command += ["--slots", server.get("slots", 8)]
        if server.get("fencing"):
            command.append("--check-fencing")
        return command + self.engine_options

    def start_servers(self):
        for name in self.settings["servers"]:
            self.launch(name, *self.server_command(name))
        for name, server in self.settings["servers"].items():
            self.wait_for(server["address"], "/stats", name)

    def start_daemon(self, node, role, *options):
        program = self.bin / f"turmericpass-{role}"
        self.launch(
            f"{node}-{role}",
            program, "--settings", self.folder, "--node", node, *options,
        )

    def start_daemons(self, *options, nodes=None):
        names = nodes or list(self.settings["nodes"])
        for role in ROLES:
            for node in names:
                self.start_daemon(node, role, *options)
        for role in ROLES:
            for node in names:
                self.wait_for(self.admin(node, role), "/readyz", f"{node}-{role}")

    def start(self, *options):
        self.start_platform()
        self.start_servers()
        self.start_daemons(*options)

    def admin(self, node, role):
        entry = self.settings["nodes"][node]
        return f'{entry["address"]}:{entry["admin_port"] + ADMIN_OFFSET[role]}'

    def gateway(self, node):
        entry = self.settings["nodes"][node]
        return f'{entry["address"]}:{entry["http_port"]}'

    def metrics(self, node, role):
        """Returns the metrics of a daemon as a dictionary of numbers."""
        text = call(self.admin(node, role), "GET", "/metrics")[2]
        values = {}
        for line in text.splitlines():
            if line and not line.startswith("#"):
                key, value = line.rsplit(" ", 1)
                values[key.removeprefix("turmericpass_")] = float(value)
        return values

    def wait_for(self, address, path, name):
        """Waits until a path answers 200."""
        end = time.monotonic() + START_LIMIT_SECONDS
        while time.monotonic() < end:
            if self.processes[name].poll() is not None:
                break
            try:
                if call(address, "GET", path, timeout=1)[0] == 200:
                    return
            except OSError:
                pass
            time.sleep(0.02)
        log = (self.logs / f"{name}.log").read_text()[-2000:]
        raise RuntimeError(f"{name} did not start; the end of its log:\n{log}")

    def signal(self, name, number):
        self.processes[name].send_signal(number)

    def kill(self, name):
        """Kills a process at once, as the loss of its VM does."""
        self.processes[name].kill()
        self.processes[name].wait()

    def restart(self, name):
        self.launch(name, *self.commands[name])

    def wait_daemon(self, node, role):
        self.wait_for(self.admin(node, role), "/readyz", f"{node}-{role}")

    def terminate(self, name, timeout=30):
        """Asks a process to end and returns its exit status."""
        process = self.processes[name]
        if process.poll() is None:
            process.send_signal(signal.SIGTERM)
        try:
            return process.wait(timeout)
        except subprocess.TimeoutExpired:
            process.kill()
            return process.wait()

    def stop(self):
        """Ends everything that was started here."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.send_signal(signal.SIGTERM)
        end = time.monotonic() + 10
        for process in self.processes.values():
            try:
                process.wait(max(0.1, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stop()
