#!/usr/bin/env python3
"""Shows one streamed request, one batch and one call that runs once."""

import http.client
import json
import sys
import tempfile
import time

from fleet import ROOT, Fleet, call

KEY = {"Authorization": "Bearer quickstart-key"}
BATCH_LIMIT_SECONDS = 60


def show_stream(gateway):
    print("1. A streamed question")
    host, port = gateway.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=30)
    body = {
        "model": "assistant-small",
        "stream": True,
        "max_tokens": 12,
        "messages": [{"role": "user", "content": "Which bobbin suits linen 80/2?"}],
    }
    connection.request(
        "POST", "/v1/chat/completions", json.dumps(body),
        KEY | {"Content-Type": "application/json"},
    )
    reply = connection.getresponse()
    text, whole = "", False
    for line in reply:
        line = line.decode().strip()
        if line == "data: [DONE]":
            whole = True
        elif line.startswith("data: "):
            event = json.loads(line[6:])
            for choice in event.get("choices", []):
                piece = choice.get("delta", {}).get("content") or ""
                text += piece
                print(piece, end="", flush=True)
    print()
    connection.close()
    if reply.status != 200 or not whole or not text:
        raise RuntimeError(f"the stream failed with status {reply.status}")


def wait_for_batch(gateway, batch):
    end = time.monotonic() + BATCH_LIMIT_SECONDS
    while time.monotonic() < end:
        job = json.loads(call(gateway, "GET", f"/v1/batches/{batch}", headers=KEY)[2])
        if job["status"] == "completed":
            return job
        time.sleep(0.1)
    raise RuntimeError(f"the batch did not complete: {job}")


def show_batch(gateway):
    print("2. A batch of five catalogue descriptions")
    lines = [
        json.dumps({
            "custom_id": f"item-{number}",
            "method": "POST",
            "url": "/v1/chat/completions",
            "body": {
                "model": "assistant-small",
                "max_tokens": 8,
                "messages": [{"role": "user", "content": f"Describe bobbin {number}"}],
            },
        })
        for number in range(5)
    ]
    status, _, text = call(
        gateway, "POST", "/v1/files", "\n".join(lines),
        KEY | {"Content-Type": "application/jsonl"},
    )
    if status != 200:
        raise RuntimeError(f"the upload failed: {status} {text}")
    order = {
        "input_file_id": json.loads(text)["id"],
        "endpoint": "/v1/chat/completions",
        "completion_window": "24h",
    }
    headers = KEY | {"Idempotency-Key": "evening-batch", "Content-Type": "application/json"}
    status, _, text = call(gateway, "POST", "/v1/batches", order, headers)
    if status != 200:
        raise RuntimeError(f"the batch was refused: {status} {text}")
    job = wait_for_batch(gateway, json.loads(text)["id"])
    status, _, text = call(
        gateway, "GET", f'/v1/files/{job["output_file_id"]}/content', headers=KEY
    )
    results = [json.loads(line) for line in text.splitlines()]
    for result in results:
        body = result["response"]["body"]
        print(f'{result["custom_id"]}: {body["choices"][0]["message"]["content"]}')
    if [result["custom_id"] for result in results] != [f"item-{n}" for n in range(5)]:
        raise RuntimeError("the results are not the five items, each once")


def show_single_run(fleet, gateways):
    print("3. An order confirmation, sent three times under one key")
    headers = KEY | {"Idempotency-Key": "order-1017", "Content-Type": "application/json"}
    answers = [
        call(gateway, "POST", "/services/orders/confirm", {"order": 1017}, headers)
        for gateway in (gateways[0], gateways[1], gateways[0])
    ]
    for status, _, text in answers:
        print(status, text.strip())
    stats = json.loads(
        call(fleet.settings["servers"]["orders-1"]["address"], "GET", "/stats")[2]
    )
    runs = stats["by_key"].get("order-1017", 0)
    print(f"the service ran it {runs} time(s)")
    if runs != 1 or len({text for _, _, text in answers}) != 1:
        raise RuntimeError("the confirmation did not run exactly once")


def main():
    with tempfile.TemporaryDirectory() as logs:
        with Fleet(ROOT / "Examples/quickstart", logs) as fleet:
            fleet.start()
            gateways = [fleet.gateway(node) for node in fleet.settings["nodes"]]
            show_stream(gateways[0])
            show_batch(gateways[1])
            show_single_run(fleet, gateways)
    print("All processes are stopped.")
    return 0


if __name__ == "__main__":
    sys.exit(main())
