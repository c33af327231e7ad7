"""Nothing is lost and nothing is doubled when processes and stores fail."""

import signal
import time
import unittest

from clients import (KEY, FleetTest, call, in_parallel, job_state, read_results,
                     resend, submit_batch)

ITEMS = 600


class BatchTest(FleetTest):
    engine_options = ["--token-ms", "5"]

    def assert_complete(self, job, count=ITEMS):
        self.until(lambda: job_state(self.gateways, job)["status"] == "completed",
                   "the job completes")
        results = read_results(self.gateways, job)
        self.assertEqual(
            [line["custom_id"] for line in results], [f"item-{n}" for n in range(count)])
        for line in results:
            self.assertEqual(line["response"]["status_code"], 200, line)

    # Guards against items that die with the VM that acknowledged them.
    def test_every_daemon_is_killed_in_turn(self):
        job = submit_batch(self.gateways, ITEMS, "killed")
        for role in ("gateway", "batcher", "dispatcher", "controller"):
            for node in ("a1", "b1"):
                self.fleet.kill(f"{node}-{role}")
                time.sleep(0.4)
                self.fleet.restart(f"{node}-{role}")
                self.fleet.wait_daemon(node, role)
        self.assert_complete(job)

    # Guards against a second job from a client that never saw the answer.
    def test_resent_job_is_the_same_job(self):
        first = submit_batch(self.gateways, 20, "resent")
        self.fleet.kill("a1-gateway")
        self.fleet.restart("a1-gateway")
        self.fleet.wait_daemon("a1", "gateway")
        self.assertEqual(submit_batch(self.gateways, 20, "resent"), first)
        self.assert_complete(first, 20)

    # Guards against loss and doubling when the platform is away for long.
    def test_platform_is_stopped_in_the_middle(self):
        job = submit_batch(self.gateways, ITEMS, "outage")
        time.sleep(0.5)
        self.platform_fault(kind="outage", for_ms=30000)
        time.sleep(1)
        self.assert_complete(job)

    # Guards against a write that is made twice because its reply was lost.
    def test_replies_are_lost_after_the_write(self):
        self.platform_fault(kind="lose_reply", factor=0.1, for_ms=600000)
        job = submit_batch(self.gateways, ITEMS, "lost-replies")
        self.assert_complete(job)

    # Guards against a holder that wakes up believing in its lease.
    def test_batcher_sleeps_past_its_lease(self):
        job = submit_batch(self.gateways, ITEMS, "frozen", max_tokens=16)
        time.sleep(1)
        self.fleet.signal("a1-batcher", signal.SIGSTOP)
        time.sleep(30)
        self.fleet.signal("a1-batcher", signal.SIGCONT)
        self.assert_complete(job)

    # Guards against a cancelled job that goes on.
    def test_cancelled_job_starts_nothing_new(self):
        job = submit_batch(self.gateways, 3000, "cancelled", max_tokens=64)
        time.sleep(2)
        resend(self.gateways, "POST", f"/v1/batches/{job}/cancel")
        time.sleep(3)
        started = self.engine_total("started")
        time.sleep(3)
        self.assertEqual(self.engine_total("started"), started)
        self.until(lambda: job_state(self.gateways, job)["status"] == "cancelled",
                   "the job is cancelled")

    # Guards against an item without an end that holds the job for ever.
    def test_item_that_crashes_servers_does_not_hold_the_job(self):
        job = submit_batch(self.gateways, 20, "poison", contents={7: "stop [[crash]]"})
        names = ["engine-1", "engine-2", "engine-3"]

        def revive():
            for name in names:
                if self.fleet.processes[name].poll() is not None:
                    self.fleet.restart(name)
            return job_state(self.gateways, job)["status"] == "completed"

        self.until(revive, "the job completes")
        results = read_results(self.gateways, job)
        self.assertEqual(len(results), 20)
        for number, line in enumerate(results):
            status = (line.get("response") or {}).get("status_code")
            self.assertEqual(status == 200, number != 7, line)


class SingleRunTest(FleetTest):
    """Calls of a service whose calls must not be repeated."""

    def confirm(self, number):
        """Sends one order until its outcome is known; returns the outcome."""
        headers = KEY | {"Idempotency-Key": f"order-{number}"}
        outcome = ("lost", "")
        for turn in range(40):
            gateway = self.gateways[(number + turn) % len(self.gateways)]
            try:
                status, _, text = call(
                    gateway, "POST", "/services/orders/confirm", {"n": number}, headers, 20)
            except OSError:
                time.sleep(0.1)
                continue
            if status == 200:
                return "ran", text
            outcome = (str(status), text)
            time.sleep(0.1)
        return outcome

    def assert_at_most_once(self, outcomes):
        runs = self.server_stats("orders-1")["by_key"]
        for number, (outcome, text) in enumerate(outcomes):
            count = runs.get(f"order-{number}", 0)
            self.assertLessEqual(count, 1, f"order {number} ran {count} times: {text}")
            if outcome == "ran":
                self.assertEqual(count, 1, f"order {number} was said to have run")
            if '"not_run"' in text:
                self.assertEqual(count, 0, f"order {number} was said not to have run")

    # Guards against a confirmation that is paid twice.
    def test_daemons_are_killed_under_calls(self):
        def disturb(_):
            for role in ("dispatcher", "gateway"):
                for node in ("a1", "b1"):
                    time.sleep(0.5)
                    self.fleet.kill(f"{node}-{role}")
                    self.fleet.restart(f"{node}-{role}")

        def work(number):
            if number < 0:
                return disturb(number)
            time.sleep(number * 0.02)
            return self.confirm(number)

        outcomes = in_parallel(work, range(-1, 120), workers=24)[1:]
        self.assert_at_most_once(outcomes)

    # Guards against a second run when the store's reply or the answer is lost.
    def test_replies_are_lost(self):
        self.platform_fault(kind="lose_reply", factor=0.1, for_ms=600000)
        outcomes = in_parallel(self.confirm, range(100))
        self.assert_at_most_once(outcomes)
        self.assertGreater(sum(outcome == "ran" for outcome, _ in outcomes), 90)

    # Guards against running without the row that makes it the only run.
    def test_refused_truthfully_while_the_store_is_down(self):
        self.platform_fault(kind="outage", for_ms=600000)
        status, _, text = call(
            self.gateways[0], "POST", "/services/orders/confirm", {},
            KEY | {"Idempotency-Key": "order-0"})
        self.assertEqual(status, 503)
        self.assertIn('"not_run"', text)
        self.assertEqual(self.server_stats("orders-1")["executed"], 0)
        self.platform_fault(kind="none")
        self.assert_at_most_once([self.confirm(0)])


if __name__ == "__main__":
    unittest.main(verbosity=2)
