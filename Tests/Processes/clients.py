"""What the tests with real processes share: callers, and counts of faults."""

import concurrent.futures
import http.client
import json
import tempfile
import time
import unittest

from fleet import ROOT, Fleet, call

KEY = {"Authorization": "Bearer quickstart-key", "Content-Type": "application/json"}

# Bounds each wait; no healthy run comes near it.
WAIT_SECONDS = 60


class FleetTest(unittest.TestCase):
    """Starts the small fleet of the quickstart for each test."""

    engine_options = []

    def setUp(self):
        self.work = tempfile.TemporaryDirectory()
        self.fleet = Fleet(
            ROOT / "Examples/quickstart", self.work.name, self.engine_options)
        self.addCleanup(self.work.cleanup)
        self.addCleanup(self.fleet.stop)
        self.fleet.start("--no-trace")
        self.gateways = [self.fleet.gateway(n) for n in self.fleet.settings["nodes"]]

    def server_stats(self, name):
        address = self.fleet.settings["servers"][name]["address"]
        return json.loads(call(address, "GET", "/stats")[2])

    def engine_total(self, counter):
        names = [n for n, s in self.fleet.settings["servers"].items()
                 if s["service"] == "assistant"]
        return sum(self.server_stats(name)[counter] for name in names)

    def platform_fault(self, **fault):
        status, _, text = call(
            self.fleet.settings["platform"]["table"], "POST", "/fault", fault)
        self.assertEqual(status, 200, text)

    def until(self, holds, what):
        """Waits until holds() is true."""
        end = time.monotonic() + WAIT_SECONDS
        while time.monotonic() < end:
            if holds():
                return
            time.sleep(0.05)
        self.fail(f"waited {WAIT_SECONDS} s for: {what}")

    def assert_alive(self, *names):
        for name in names:
            self.assertIsNone(self.fleet.processes[name].poll(), f"{name} has ended")


def chat(content, max_tokens=8, **more):
    return {
        "model": "assistant-small", "max_tokens": max_tokens,
        "messages": [{"role": "user", "content": content}], **more,
    }


def ask(gateway, body, headers=None, timeout=60):
    """Sends a chat request; returns (status, decoded body), status 0 if cut."""
    try:
        status, _, text = call(
            gateway, "POST", "/v1/chat/completions", body, KEY | (headers or {}), timeout)
        return status, json.loads(text)
    except (OSError, http.client.HTTPException, ValueError) as failure:
        return 0, {"detail": str(failure)}


def submit_batch(gateways, count, key, max_tokens=8, contents=None):
    """Uploads and submits a job, resending as a client does; returns its id."""
    lines = [
        json.dumps({
            "custom_id": f"item-{number}", "method": "POST",
            "url": "/v1/chat/completions",
            "body": chat((contents or {}).get(number, f"Describe {number}"), max_tokens),
        })
        for number in range(count)
    ]
    upload = resend(gateways, "POST", "/v1/files", "\n".join(lines),
                    KEY | {"Content-Type": "application/jsonl", "Idempotency-Key": key + "-file"})
    order = {
        "input_file_id": upload["id"], "endpoint": "/v1/chat/completions",
        "completion_window": "24h",
    }
    return resend(gateways, "POST", "/v1/batches", order, KEY | {"Idempotency-Key": key})["id"]


def resend(gateways, method, path, body=None, headers=KEY):
    """Calls one gateway after the other until one answers 200."""
    last = None
    for turn in range(200):
        try:
            status, _, text = call(
                gateways[turn % len(gateways)], method, path, body, headers, 15)
            if status == 200:
                return json.loads(text)
            last = (status, text)
        except (OSError, http.client.HTTPException) as failure:
            last = failure
        time.sleep(0.2)
    raise AssertionError(f"{method} {path} was never answered: {last}")


def job_state(gateways, job):
    return resend(gateways, "GET", f"/v1/batches/{job}")


def read_results(gateways, job):
    """Returns the lines of a job's results."""
    file = job_state(gateways, job)["output_file_id"]
    for turn in range(100):
        try:
            status, _, text = call(
                gateways[turn % len(gateways)], "GET", f"/v1/files/{file}/content", headers=KEY)
            if status == 200:
                return [json.loads(line) for line in text.splitlines()]
        except (OSError, http.client.HTTPException):
            pass
        time.sleep(0.2)
    raise AssertionError("the results were never read")


def in_parallel(action, values, workers=16):
    with concurrent.futures.ThreadPoolExecutor(workers) as pool:
        return list(pool.map(action, values))
