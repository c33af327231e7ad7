"""A fleet for the benchmarks: three zones with one node each, 12 engines."""

import hashlib
import json
import pathlib
import subprocess
import tempfile
import threading
import time

from fleet import Fleet, call

KEY = "bench-key"
ZONES = ("a", "b", "c")
ENGINES = 12
SLOTS = 8
TOKEN_MS = 20
PORT = 18000


def digest(key):
    return hashlib.sha256(key.encode()).hexdigest()


def settings_files(engines=ENGINES, slots=SLOTS):
    """Returns the files of the benchmark's settings folder."""
    platform = f'"127.0.0.1:{PORT}"'
    nodes, servers = [], []
    for index, zone in enumerate(ZONES):
        base = PORT + 100 * (index + 1)
        nodes.append(
            f'[nodes.{zone}1]\nzone = "{zone}"\naddress = "127.0.0.1"\n'
            f"http_port = {base}\ngateway_port = {base + 1}\n"
            f"dispatcher_port = {base + 2}\nbatcher_port = {base + 3}\n"
            f"controller_port = {base + 4}\nadmin_port = {base + 10}\n"
        )
    for number in range(engines):
        servers.append(
            f'[servers.engine-{number + 1:02}]\nservice = "nosing"\n'
            f'zone = "{ZONES[number % len(ZONES)]}"\n'
            f'address = "127.0.0.1:{PORT + 500 + number}"\nslots = {slots}\n'
        )
    return {
        "10-platform.toml": "[platform]\n" + "".join(
            f"{name} = {platform}\n" for name in ("table", "objects", "vms", "weights")
        ),
        "20-zones.toml": "".join(f'[zones.{z}]\nregion = "local"\n' for z in ZONES),
        "30-nodes.toml": "\n".join(nodes),
        "40-services.toml": '[services.nosing]\nkind = "model"\nmodel = "nosing"\n',
        "50-servers.toml": "\n".join(servers),
        "60-classes.toml": (
            '[classes.check]\nkind = "online"\ndeadline_ms = 60000\n'
            '[classes.survey]\nkind = "batch"\nmay_wait_for = ["check"]\n'
            "deadline_ms = 3600000\n"
        ),
        "70-customers.toml": (
            f'[customers.bench]\nkey_hashes = ["{digest(KEY)}"]\n'
            'classes = ["check", "survey"]\n'
            "requests_per_second = 100000\ntokens_per_second = 100000000\n"
        ),
        "80-limits.toml": "[limits]\nqueue_per_service = 5000\ndrain_seconds = 5\n",
    }


class BenchFleet(Fleet):
    """Starts the benchmark's fleet, with a baseline policy or without."""

    def __init__(self, work, policy=None, load_lag_ms=500, token_ms=TOKEN_MS, slots=SLOTS):
        folder = pathlib.Path(work) / "settings"
        folder.mkdir(parents=True)
        for name, text in settings_files(slots=slots).items():
            (folder / name).write_text(text)
        options = ["--token-ms", token_ms, "--load-lag-ms", load_lag_ms]
        super().__init__(folder, pathlib.Path(work) / "logs", options)
        self.policy = policy

    def start_daemon(self, node, role, *options):
        if role != "dispatcher" or not self.policy:
            super().start_daemon(node, role, *options)
            return
        self.launch(
            f"{node}-dispatcher",
            "env", f"BASELINE_POLICY={self.policy}",
            self.bin / "BaselineDispatcher",
            "--settings", self.folder, "--node", node, *options,
        )

    def engines(self):
        return sorted(self.settings["servers"])

    def fault(self, server, **fault):
        call(self.settings["servers"][server]["address"], "POST", "/fault", fault)

    def engine_stats(self):
        """Returns the sum of each counter over the engines that answer."""
        total = {}
        for name in self.engines():
            try:
                text = call(self.settings["servers"][name]["address"], "GET", "/stats")[2]
            except OSError:
                continue
            for key, value in json.loads(text).items():
                if isinstance(value, (int, float)) and not isinstance(value, bool):
                    total[key] = total.get(key, 0) + value
        return total

    def load(self, streams, seed, events=(), nodes=None, warmup_ms=1500,
             grace_ms=15000, targets=None):
        """Runs a load plan; events are (seconds, function) pairs."""
        plan = {
            "seed": seed,
            "targets": targets
            or [self.gateway(n) for n in (nodes or self.settings["nodes"])],
            "key": KEY,
            "warmup_ms": warmup_ms,
            "grace_ms": grace_ms,
            "streams": streams,
        }
        file = self.logs / f"plan-{time.monotonic_ns()}.json"
        file.write_text(json.dumps(plan))
        timers = [threading.Timer(at, action) for at, action in events]
        for timer in timers:
            timer.start()
        try:
            done = subprocess.run(
                [self.bin / "LoadGenerator", "--plan", file],
                capture_output=True, text=True, timeout=180, check=True,
            )
        finally:
            for timer in timers:
                timer.cancel()
                timer.join()
        return json.loads(done.stdout)


def run_fleet(action, **options):
    """Starts a fresh fleet, calls action with it, and stops it."""
    with tempfile.TemporaryDirectory() as work:
        with BenchFleet(work, **options) as fleet:
            fleet.start("--no-trace")
            return action(fleet)


def online(rate, end_ms, **more):
    """A stream of short online requests."""
    return {
        "name": "online", "class": "check", "model": "nosing", "rate": rate,
        "end_ms": end_ms, "prompt_words": 40, "max_tokens": 16, **more,
    }


def batch(concurrency, end_ms, **more):
    """A stream that keeps the fleet full of batch work."""
    return {
        "name": "batch", "class": "survey", "model": "nosing",
        "concurrency": concurrency, "end_ms": end_ms, "prompt_words": 40,
        "max_tokens": 128, **more,
    }
