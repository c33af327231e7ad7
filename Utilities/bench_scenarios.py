"""The measured scenarios. Each gives rows of measured ratios and counts."""

import dataclasses
import json
import signal
import time

from bench_fleet import ZONES, batch, online, run_fleet
from fleet import call

# Offered online load, requests a second: about half of the fleet's slots.
ONLINE_RATE = 150
RUN_MS = 9000
# The window in which tokens are counted, in seconds from the start.
WINDOW_START = 2.5
WINDOW_END = 8.5
SLOWED = 2
SLOW_FACTOR = 10


@dataclasses.dataclass
class Row:
    """One measured value beside its target and its baselines."""

    scenario: str
    measure: str
    value: float
    target: str = ""
    baselines: dict = dataclasses.field(default_factory=dict)
    detail: dict = dataclasses.field(default_factory=dict)

    def meets(self):
        """Returns whether the value meets its target; None without one."""
        if not self.target:
            return None
        word, bound = self.target.split()
        return self.value <= float(bound) if word == "<=" else self.value >= float(bound)


def ratio(value, base):
    return round(value / base, 3) if base else float("inf")


def added_latency(seed):
    """Latency that gateway and dispatcher add to a direct call, idle."""
    stream = online(60, 6000, max_tokens=1, prompt_words=4)

    def action(fleet):
        through = fleet.load([stream], seed)
        engines = [s["address"] for s in fleet.settings["servers"].values()]
        direct = fleet.load([stream], seed, targets=engines)
        return through, direct

    through, direct = run_fleet(action, token_ms=1)
    medians = [r["streams"]["online"]["total_ms"]["p50"] for r in (through, direct)]
    return [
        Row("idle fleet", "median added by gateway and dispatcher, ms",
            round(medians[0] - medians[1], 3), "<= 1.0", {},
            {"through_ms": medians[0], "direct_ms": medians[1],
             "failures": failures(through)})
    ]


def failures(report, name="online"):
    stream = report["streams"][name]
    return stream["count"] - stream["ok"] + stream["cut"] + stream["unanswered"]


def p99(report, key="total_ms", name="online"):
    return report["streams"][name][key]["p99"]


def token_rates(streams, seed, policy=None):
    """Runs streams; returns the report and the engines' tokens per second."""

    def action(fleet):
        seen = []

        def look():
            seen.append((time.monotonic(), fleet.engine_stats()["tokens"]))

        report = fleet.load(
            streams, seed, [(WINDOW_START, look), (WINDOW_END, look)], grace_ms=6000)
        (begin, first), (end, last) = seen
        return report, (last - first) / (end - begin)

    return run_fleet(action, policy=policy)


def batch_beside_online(seed):
    """Batch work that saturates the fleet beside online work."""
    work = batch(200, RUN_MS)
    alone, online_rate = token_rates([online(ONLINE_RATE, RUN_MS)], seed)
    _, full_rate = token_rates([work], seed)

    def both(policy):
        report, rate = token_rates([online(ONLINE_RATE, RUN_MS), work], seed, policy)
        share = ratio(rate - online_rate, full_rate - online_rate)
        return report, share, rate

    ours, share, rate = both(None)
    others = {name: both(name) for name in ("fcfs", "static_partition")}
    base = p99(alone)
    return [
        Row("batch beside online", "online p99 with batch / without",
            ratio(p99(ours), base), "<= 1.10",
            {name: ratio(p99(r[0]), base) for name, r in others.items()},
            {"p99_alone_ms": base, "p99_ms": p99(ours), "failures": failures(ours),
             "first_p99_ms": p99(ours, "first_ms"),
             "first_p99_alone_ms": p99(alone, "first_ms")}),
        Row("batch beside online", "batch throughput / idle slots' throughput",
            share, ">= 0.90", {name: r[1] for name, r in others.items()},
            {"full_rate": full_rate, "online_rate": online_rate, "rate": rate}),
    ]


def short_beside_long(seed):
    """Short requests with and without one long request in ten."""
    rate = 90
    short = online(rate, RUN_MS)
    mixed = online(rate, RUN_MS, long_share=0.1, long_tokens=400)

    def p99_short(streams, policy=None):
        report = run_fleet(lambda f: f.load(streams, seed), policy=policy)
        return p99(report, "short_total_ms"), failures(report)

    base, _ = p99_short([short])
    value, lost = p99_short([mixed])
    fcfs_base, _ = p99_short([short], "fcfs")
    fcfs, _ = p99_short([mixed], "fcfs")
    return [
        Row("short beside long", "p99 of short with 10% long / without",
            ratio(value, base), "<= 1.25", {"fcfs": ratio(fcfs, fcfs_base)},
            {"p99_ms": value, "p99_alone_ms": base, "failures": lost})
    ]


def slow_events(moving):
    """Returns the faults that slow two servers, for good or moving on."""
    if not moving:
        return lambda fleet: [
            (0.1, lambda: [fleet.fault(name, kind="slow", factor=SLOW_FACTOR, for_ms=60000)
                           for name in fleet.engines()[:SLOWED]])
        ]

    def build(fleet):
        names = fleet.engines()
        events = []
        for step in range(4):
            chosen = [names[(step * SLOWED + i) % len(names)] for i in range(SLOWED)]
            events.append((0.1 + 3 * step, lambda chosen=chosen: [
                fleet.fault(name, kind="slow", factor=SLOW_FACTOR, for_ms=3000)
                for name in chosen]))
        return events

    return build


def slowed_servers(seed, title, moving=False, load_lag_ms=500):
    def run(policy=None, events=None):
        def action(fleet):
            built = events(fleet) if events else []
            report = fleet.load([online(ONLINE_RATE, RUN_MS)], seed, built)
            return report, fleet.engine_stats()

        return run_fleet(action, policy=policy, load_lag_ms=load_lag_ms)

    slow = slow_events(moving)
    normal, normal_stats = run()
    ours, stats = run(events=slow)
    lor_normal, _ = run("least_outstanding")
    lor, _ = run("least_outstanding", slow)
    robin, _ = run("round_robin", slow)
    # Both runs have the same requests, so what the engines computed beyond the
    # undisturbed run is the work of copies, retries and repeated prompts.
    extra = ratio(engine_work(stats), engine_work(normal_stats)) - 1
    return [
        Row(title, "online p99, 2 of 12 slowed / none", ratio(p99(ours), p99(normal)),
            "<= 1.5",
            {"least_outstanding": ratio(p99(lor), p99(lor_normal)),
             "round_robin": ratio(p99(robin), p99(lor_normal))},
            {"p99_ms": p99(ours), "normal_ms": p99(normal),
             "first_p99_ms": p99(ours, "first_ms"), "failures": failures(ours)}),
        Row(title, "extra work, tokens and prompt tokens", round(extra, 3), "<= 0.05", {},
            {"started": stats["started"], "finished": stats["finished"]}),
    ]


def engine_work(stats):
    """Returns the tokens that engines computed, prompts included."""
    return stats["tokens"] + stats["prefill_tokens"]


def slowed_for_good(seed):
    """Two of twelve servers ten times slower."""
    return slowed_servers(seed, "2 of 12 slowed")


def slowed_late_reports(seed):
    """The same with load reports five seconds late."""
    return slowed_servers(seed, "slowed, reports 5 s late", load_lag_ms=5000)


def slowed_moving(seed):
    """The same with the slowness moving every three seconds."""
    return slowed_servers(seed, "slowness moves every 3 s", moving=True)


def crash_in_flight(seed):
    """A server with a full batch in flight is killed."""

    def run(policy=None):
        def action(fleet):
            victim = fleet.engines()[0]
            return fleet.load(
                [online(ONLINE_RATE * 1.5, RUN_MS)], seed,
                [(4.0, lambda: fleet.kill(victim))])

        return run_fleet(action, policy=policy)

    ours, base = run(), run("least_outstanding")
    return [
        Row("server killed in flight", "failed or cut requests", failures(ours), "<= 0",
            {"least_outstanding": failures(base)},
            {"p99_ms": p99(ours), "max_ms": ours["streams"]["online"]["total_ms"]["max"]})
    ]


def crash_with_32_in_flight(seed):
    """A server with 32 requests in flight is killed."""
    # 150 requests a second of 64 tokens at 40 ms are 32 for each engine.
    stream = online(150, RUN_MS, max_tokens=64)
    running = []

    def action(fleet):
        victim = fleet.engines()[0]

        def kill():
            address = fleet.settings["servers"][victim]["address"]
            running.append(json.loads(call(address, "GET", "/stats")[2])["running"])
            fleet.kill(victim)

        return fleet.load([stream], seed, [(6.0, kill)])

    report = run_fleet(action, slots=40, token_ms=40)
    return [
        Row("server with 32 in flight killed", "failed or cut requests", failures(report),
            "<= 0", {}, {"in_flight": running, "p99_ms": p99(report),
                         "max_ms": report["streams"]["online"]["total_ms"]["max"]})
    ]


def burst_onto_batch(seed):
    """A burst of online work onto a fleet full of batch work."""
    # Some online work goes on all the time, so that windows are grown.
    base = online(40, 6000)
    burst = online(600, 4200, start_ms=4000, name="burst")

    def run(streams, policy=None):
        return run_fleet(lambda f: f.load(streams, seed, grace_ms=4000), policy=policy)

    def first(report):
        return p99(report, "first_ms", "burst")

    idle = run([base, burst])
    ours = run([batch(200, 6000), base, burst])
    others = {name: run([batch(200, 6000), base, burst], name)
              for name in ("fcfs", "static_partition")}
    # 50 ms and one engine step, which is 20 ms.
    return [
        Row("burst onto full batch", "first token p99 over an idle fleet, ms",
            round(first(ours) - first(idle), 1), "<= 70",
            {name: round(first(r) - first(idle), 1) for name, r in others.items()},
            {"failures": failures(ours, "burst") + failures(ours), "idle_ms": first(idle)})
    ]


def dispatcher_killed(seed):
    """One of three dispatchers is killed and started again."""

    def action(fleet):
        def restart():
            fleet.restart("a1-dispatcher")

        return fleet.load(
            [online(ONLINE_RATE, RUN_MS)], seed,
            [(3.0, lambda: fleet.kill("a1-dispatcher")), (6.0, restart)])

    report = run_fleet(action)
    return [
        Row("dispatcher killed", "failed or cut requests", failures(report), "<= 0", {},
            {"p99_ms": p99(report), "failures": report["streams"]["online"]["failures"],
             "max_ms": report["streams"]["online"]["total_ms"]["max"]})
    ]


def zone_cut_off(seed):
    """Every process of one zone freezes, as seen from the other zones."""

    def action(fleet):
        zone = ZONES[2]
        names = [f"{zone}1-{role}" for role in ("gateway", "dispatcher", "batcher", "controller")]
        names += [n for n, s in fleet.settings["servers"].items() if s["zone"] == zone]
        names = [name for name in names if name in fleet.processes]

        def freeze():
            for name in names:
                fleet.signal(name, signal.SIGSTOP)

        nodes = [f"{z}1" for z in ZONES if z != zone]
        return fleet.load([online(ONLINE_RATE * 0.8, RUN_MS)], seed, [(3.0, freeze)], nodes)

    report = run_fleet(action)
    return [
        Row("zone cut off", "failed or cut requests elsewhere", failures(report), "<= 0", {},
            {"p99_ms": p99(report), "failures": report["streams"]["online"]["failures"],
             "max_ms": report["streams"]["online"]["total_ms"]["max"]})
    ]


def poison_request(seed):
    """A request that crashes its server is sent 50 times."""

    def action(fleet):
        poison = online(10, 7000, start_ms=2000, prompt_suffix=" [[crash]]",
                        name="poison", prompt_words=0)
        report = fleet.load([online(ONLINE_RATE * 0.6, RUN_MS), poison], seed)
        time.sleep(0.2)
        lost = sum(fleet.processes[name].poll() is not None for name in fleet.engines())
        return report, lost

    report, lost = run_fleet(action)
    return [
        Row("poison request", "servers lost", lost, "<= 2", {},
            {"poison_sent": report["streams"]["poison"]["count"],
             "poison": report["streams"]["poison"]["failures"]}),
        Row("poison request", "innocent requests failed", failures(report), "<= 0", {},
            {"failures": report["streams"]["online"]["failures"]}),
    ]


SCENARIOS = {
    "latency": added_latency,
    "batch": batch_beside_online,
    "short": short_beside_long,
    "slowed": slowed_for_good,
    "slowed-late": slowed_late_reports,
    "slowed-moving": slowed_moving,
    "crash": crash_in_flight,
    "crash-32": crash_with_32_in_flight,
    "burst": burst_onto_batch,
    "dispatcher": dispatcher_killed,
    "zone": zone_cut_off,
    "poison": poison_request,
}

