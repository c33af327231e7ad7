"""A client hides a request of its own in a header of a batch item."""

import asyncio
import base64
import json
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from fleet2 import HOST, CannotRun, main  # noqa: E402

JOBS = 10
ITEMS = 4


def smuggling_header(fleet, hidden):
    """A header value that ends its request and begins another one."""
    line_end = "\r\n" if fleet.trouble else " "
    return line_end.join([
        "m", "Content-Length: 0", "", "POST /pule0/hidden HTTP/1.1",
        f"Host: {HOST}", f"Request-Id: {hidden}", "Model: m"])


async def play(fleet):
    sent, hidden_ids = set(), set()
    for number in range(JOBS):
        job = fleet.new_id()
        ids = [fleet.new_id() for _ in range(ITEMS)]
        hidden = fleet.new_id()
        hidden_ids.add(hidden)
        sent.update(ids)
        items = [{"id": item, "path": f"/pule0/{item[:4]}",
                  "headers": {"Model": "m", "Token-Usage": "350,400"},
                  "body": base64.b64encode(item.encode()).decode(),
                  "tokens": 750} for item in ids]
        items[0]["headers"]["Model"] = smuggling_header(fleet, hidden)
        node = fleet.nodes[number % len(fleet.nodes)]
        answer = await fleet.call(
            node, "POST", f"/pule0/{job[:6]}",
            {"Request-Id": job, "Deadline-Ms": "4000",
             "Content-Type": "application/json"},
            json.dumps({"items": items}).encode())
        fleet.record(f"submit {job} with items {ids} to {node.name}, "
                     f"{hidden} hidden in {ids[0]}: "
                     f"{answer[0] if answer else None}")
        if not fleet.trouble and (answer is None or answer[0] != 202):
            raise CannotRun("a job without a hidden request was not accepted")
        await asyncio.sleep(0.2)
    await asyncio.sleep(5)
    for request, runs in fleet.runs.items():
        if request not in sent:
            fleet.breaks(
                f"UNASKED: engine {runs[0][1]} ran request {request}, which no "
                f"client sent; hidden inside an item: {request in hidden_ids}")


if __name__ == "__main__":
    main("7", play, nodes=2, engines=3)
