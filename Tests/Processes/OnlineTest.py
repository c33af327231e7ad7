"""Online requests with real processes: streams, drains, faults, bad input."""

import http.client
import json
import signal
import threading
import time
import unittest

from clients import KEY, FleetTest, ask, call, chat, in_parallel, submit_batch


def read_stream(gateway, body, pieces=None):
    """Reads a whole event stream; returns (text, whether it ended well)."""
    host, port = gateway.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=60)
    text, whole = "", False
    try:
        connection.request("POST", "/v1/chat/completions", json.dumps(body), KEY)
        for line in connection.getresponse():
            line = line.decode().strip()
            if line == "data: [DONE]":
                whole = True
            elif line.startswith("data: "):
                for choice in json.loads(line[6:]).get("choices", []):
                    text += choice.get("delta", {}).get("content") or ""
            if pieces is not None:
                pieces.append(line)
    except (OSError, http.client.HTTPException, ValueError):
        whole = False
    finally:
        connection.close()
    return text, whole


class StreamTest(FleetTest):
    # Guards against an engine that goes on for a page that is closed.
    def test_closed_caller_cancels_the_engine(self):
        host, port = self.gateways[0].rsplit(":", 1)
        connection = http.client.HTTPConnection(host, int(port), timeout=30)
        connection.request("POST", "/v1/chat/completions",
                           json.dumps(chat("long", 2000, stream=True)), KEY)
        reply = connection.getresponse()
        reply.readline()
        # The reply holds the socket too.
        reply.close()
        connection.close()
        self.until(lambda: self.engine_total("cancelled") == 1, "the engine cancels")

    # Guards against answers that reach the wrong caller or are cut.
    def test_each_caller_gets_its_own_whole_answer(self):
        bodies = [chat(f"question {n}", 12 + n % 5) for n in range(60)]
        alone = [ask(self.gateways[0], body) for body in bodies]
        together = in_parallel(lambda b: ask(self.gateways[1], b), bodies, workers=40)
        for (first_status, first), (status, body) in zip(alone, together):
            self.assertEqual((first_status, status), (200, 200))
            self.assertEqual(first["choices"][0]["message"], body["choices"][0]["message"])

    # Guards against a stream that restarts or skips when its server dies.
    def test_stream_goes_on_after_the_loss_of_its_server(self):
        body = chat("a stream that outlives its server", 100, stream=True)
        expected, whole = read_stream(self.gateways[0], body)
        self.assertTrue(whole)
        results = []
        threads = [threading.Thread(
            target=lambda: results.append(read_stream(self.gateways[0], body)))
            for _ in range(9)]
        for thread in threads:
            thread.start()
        time.sleep(0.7)
        self.fleet.kill("engine-1")
        for thread in threads:
            thread.join()
        self.assertEqual(results, [(expected, True)] * 9)


class ShutdownTest(FleetTest):
    # Guards against streams that a rolling restart cuts.
    def test_graceful_shutdown_cuts_no_stream(self):
        body = chat("a long stream", 150, stream=True)
        expected, _ = read_stream(self.gateways[0], body)
        for role in ("dispatcher", "gateway"):
            results = []
            threads = [threading.Thread(
                target=lambda: results.append(read_stream(self.gateways[0], body)))
                for _ in range(12)]
            for thread in threads:
                thread.start()
            time.sleep(0.6)
            self.assertEqual(self.fleet.terminate(f"a1-{role}"), 0)
            for thread in threads:
                thread.join()
            self.assertEqual(results, [(expected, True)] * 12, role)
            self.fleet.restart(f"a1-{role}")
            self.fleet.wait_daemon("a1", role)

    # Guards against new work on a server that the platform removes.
    def test_leaving_server_gets_nothing_new(self):
        call(self.fleet.settings["platform"]["vms"], "POST", "/vms",
             {"vms": [{"name": "engine-1", "state": "leaving"}]})
        # The list lags by one second; the promise counts from its word.
        time.sleep(4)
        before = self.server_stats("engine-1")["started"]
        answers = in_parallel(lambda n: ask(self.gateways[n % 2], chat(f"q {n}")), range(60))
        self.assertTrue(all(status == 200 for status, _ in answers))
        self.assertEqual(self.server_stats("engine-1")["started"], before)


class KillTest(FleetTest):
    # Guards against callers that are told what is not true, or nothing.
    def test_kill_of_each_daemon_is_told_truthfully(self):
        for role in ("dispatcher", "controller", "batcher", "gateway"):
            with self.subTest(role=role):
                self.kill_under_load(role)

    def kill_under_load(self, role):
        answers = []
        victim = self.fleet.gateway("a1")

        def work(number):
            if number == 40:
                self.fleet.kill(f"a1-{role}")
                time.sleep(0.5)
                self.fleet.restart(f"a1-{role}")
                return
            time.sleep(number * 0.01)
            gateway = self.gateways[number % 2]
            status, body = ask(gateway, chat(f"{role} {number}", 30))
            answers.append((gateway, status, body))

        in_parallel(work, range(160), workers=60)
        self.fleet.wait_daemon("a1", role)
        told = {}
        for gateway, status, body in answers:
            key = f"{status} {body.get('execution', '')}".strip()
            told[key] = told.get(key, 0) + 1
            if status != 200 and not (role == "gateway" and gateway == victim):
                self.fail(f"{gateway} answered {status} {body} after the kill of a {role}")
        print(f"kill -9 of a {role}: callers were told {told}")


class BadInputTest(FleetTest):
    # Guards against work, or the death of a daemon, by a broken request.
    def test_bad_requests_reach_no_server(self):
        deep = "[" * 5000 + "]" * 5000
        cases = [
            ("POST", "/v1/chat/completions", b"{", KEY, 400),
            ("POST", "/v1/chat/completions", deep.encode(), KEY, 400),
            ("POST", "/v1/chat/completions", b'{"model":"\xff\xfe"}', KEY, 400),
            ("POST", "/v1/chat/completions", b"[]", KEY, 400),
            ("POST", "/v1/chat/completions", json.dumps(chat("x") | {"model": "none"}).encode(),
             KEY, 404),
            ("POST", "/v1/chat/completions", json.dumps(chat("x", -1)).encode(), KEY, 400),
            ("POST", "/v1/chat/completions", json.dumps(chat("x")).encode(), {}, 401),
            ("POST", "/v1/chat/completions", json.dumps(chat("x")).encode(),
             {"Authorization": "Bearer wrong"}, 401),
            ("POST", "/v1/chat/completions", json.dumps(chat("x")).encode(),
             KEY | {"Turmericpass-Class": "none"}, None),
            ("POST", "/services/none/x", b"{}", KEY, 404),
            ("POST", "/services/orders/x", b"{}", KEY, 400),
            ("DELETE", "/v1/chat/completions", b"", KEY, 405),
            ("GET", "/nowhere", None, KEY, 404),
            ("POST", "/v1/batches", b'{"input_file_id":"none"}', KEY, None),
            ("POST", "/v1/files", b"x" * (9 << 20), KEY, 413),
        ]
        for method, path, body, headers, expected in cases:
            status, reply, text = call(self.gateways[0], method, path, body, headers)
            with self.subTest(path=path, body=(body or b"")[:40]):
                self.assertGreaterEqual(status, 400)
                self.assertLess(status, 500, text)
                if expected:
                    self.assertEqual(status, expected, text)
                kind = {k.lower(): v for k, v in reply.items()}.get("content-type", "")
                self.assertEqual(kind, "application/problem+json")
                self.assertEqual(json.loads(text)["execution"], "not_run")
        self.assertEqual(self.engine_total("received"), 0)
        self.assertEqual(self.server_stats("orders-1")["received"], 0)
        self.assert_alive("a1-gateway", "a1-dispatcher", "a1-batcher", "a1-controller")

    # Guards against servers that harm more than their own attempts.
    def test_misbehaving_server_costs_its_own_attempts(self):
        bodies = [chat(f"misbehaving {n}", 10) for n in range(30)]
        expected = [ask(self.gateways[0], body)[1]["choices"] for body in bodies]
        address = self.fleet.settings["servers"]["engine-1"]["address"]
        for kind in ("garbage", "cut", "endless", "wrong_tag", "refuse", "freeze"):
            call(address, "POST", "/fault", {"kind": kind, "for_ms": 60000})
            answers = in_parallel(lambda b: ask(self.gateways[0], b), bodies)
            call(address, "POST", "/fault", {"kind": "none"})
            with self.subTest(kind=kind):
                self.assertEqual([s for s, _ in answers], [200] * len(bodies))
                self.assertEqual([b["choices"] for _, b in answers], expected)


class ZoneTest(FleetTest):
    # Guards against a zone that stops because another one, or the platform,
    # is out of reach.
    def test_zone_serves_alone(self):
        frozen = ["b1-gateway", "b1-dispatcher", "b1-batcher", "b1-controller",
                  "engine-3", "platform"]
        for name in frozen:
            self.fleet.signal(name, signal.SIGSTOP)
        time.sleep(1)
        answers = in_parallel(lambda n: ask(self.gateways[0], chat(f"q {n}")), range(60))
        self.assertEqual([s for s, _ in answers if s != 200], [])
        for name in frozen:
            self.fleet.signal(name, signal.SIGCONT)

    # Guards against online work that waits for batch work.
    def test_check_does_not_wait_behind_batch(self):
        submit_batch(self.gateways, 2000, "filler", max_tokens=400)
        self.until(lambda: self.engine_total("running") >= 20, "batch fills the engines")
        before = self.engine_total("cancelled")
        answers = in_parallel(lambda n: ask(self.gateways[n % 2], chat(f"q {n}")), range(48),
                              workers=48)
        self.assertTrue(all(status == 200 for status, _ in answers))
        self.assertGreater(self.engine_total("cancelled"), before)


if __name__ == "__main__":
    unittest.main(verbosity=2)
