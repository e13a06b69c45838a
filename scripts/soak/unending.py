"""Memory of hosts while bytes pour in without end; see test/unending-bytes.sh."""

import asyncio
import dataclasses
import json
import os
import random
import tempfile
import time

from fleet import Fleet
from ledger import Ledger
from pouring import (FORMS, IdleReader, LargeBodyCaller, PacedCaller,
                     PouringUpstream)
from soak import close_connections, ignore_cancelled, network, parser_of

CALM_S = 3.5
FAULT_S = 5.0
AFTER_S = 3.0  # time in which memory must be given back

UPSTREAMS = 6  # of each service
HALF = {"app": UPSTREAMS // 2, "llm": UPSTREAMS // 2}

# Kinds of requests: to the service `app`, to `llm`, and to both.
CALLS = ("safe", "once")
STREAMS = ("stream",)
ALL_KINDS = (*CALLS, *STREAMS)

# Further callers, which ask services with sound upstreams.
OTHER_CALLERS = 40
OTHERS_PAUSE_S = (0.3, 0.6)

OFTEN_S = (0.02, 0.1)  # time between the requests of callers that ask often

# By how much a host's memory may rise above its peak in calm, and in the end above
# what it had in calm.
MOST_RISE_MB = 60
LEAST_SERVED = 0.9

# Promises that hold whatever pours.
CHECKED = ("twice", "not_run", "mixed", "order", "unasked", "answer")


@dataclasses.dataclass
class Scenario:
    forms: tuple = ()
    slow: bool = False  # most of it at once, and then little at a time
    to_probes: bool = False  # pouring upstreams break off half of their answers
    pouring: dict = dataclasses.field(default_factory=dict)  # service: upstreams
    kinds: tuple = ALL_KINDS  # that most callers ask for
    other_kinds: tuple = ALL_KINDS  # of services with sound upstreams
    pause_s: tuple = (1.5, 2.5)  # of most callers, between requests
    idle_readers: bool = False  # half of the callers, once the fault begins
    large_bodies: int = 0  # further callers


SCENARIOS = {
    "mixed": Scenario(tuple(FORMS), pouring=HALF, pause_s=OFTEN_S),
    "probes": Scenario(("chunks", "unframed"), to_probes=True,
                       pouring={"app": UPSTREAMS},
                       kinds=CALLS, other_kinds=STREAMS, pause_s=OFTEN_S),
    "one_event": Scenario(("one_event",), slow=True, pouring={"llm": UPSTREAMS},
                          kinds=STREAMS, other_kinds=CALLS),
    "unframed": Scenario(("unframed",), slow=True, pouring={"app": UPSTREAMS},
                         kinds=CALLS, other_kinds=STREAMS),
    "bodies": Scenario(large_bodies=200),
    "idle_readers": Scenario(("chunks",), pouring={"app": UPSTREAMS},
                             kinds=CALLS, other_kinds=STREAMS,
                             idle_readers=True),
}


class PouringFleet(Fleet):
    upstream_type = PouringUpstream

    async def start(self, host_count):
        await super().start(host_count)
        for service in ("app", "llm"):
            while len(self.of(service)) < UPSTREAMS:
                await self.add_upstream(f"i-{len(self.upstreams)}", service)

    def address_of(self, upstream):
        """Without the proxy, which would slow down what pours."""
        return "%s:%d" % upstream.target

    def of(self, service):
        return [each for each in self.upstreams if each.service == service]


class PouringLedger(Ledger):
    def __init__(self):
        super().__init__()
        self.at_faulty = set()  # ids of requests that arrived at faulty upstreams
        self.of_faulty_callers = set()

    def others_served(self, since, until):
        """Whether requests of this time were that met no faulty upstream or caller."""
        return [self.served.get(request_id, False)
                for request_id, at in self.sent_at.items()
                if since <= at < until and request_id not in self.left
                and request_id not in self.at_faulty
                and request_id not in self.of_faulty_callers
                and self.sent[request_id][0] != "marker"]


def memory(fleet, name):
    return [host.memory_mb(name) for host in fleet.hosts]


def most_rise(after, before):
    return max(late - early for late, early in zip(after, before))


def begin(fleet, scenario):
    for service, count in scenario.pouring.items():
        for each in fleet.of(service)[:count]:
            each.forms, each.slow = scenario.forms, scenario.slow
            each.pours_to_probes = scenario.to_probes
            if scenario.to_probes:
                each.faults.update(break_off=0.5, cut=0.5)


def end(fleet):
    for each in fleet.upstreams:
        each.forms = ()
        each.faults.clear()


async def play(options, fleet, ledger, rng):
    """Returns the figures of the run."""
    scenario = SCENARIOS[options.scenario]
    await fleet.start(options.processes)
    asyncio.create_task(ledger.budget.lag.watch())
    await fleet.wait_until_ready()
    fault_at = time.monotonic() + CALM_S
    fault_end = fault_at + FAULT_S
    run_end = fault_end + AFTER_S

    def start(caller_type, count, until, kinds=scenario.kinds,
              pause_s=scenario.pause_s):
        return [asyncio.create_task(caller_type(
            fleet, ledger, random.Random(rng.random()), kinds, pause_s).run(until))
                for _ in range(count)]

    idle = options.callers // 2 if scenario.idle_readers else 0
    tasks = start(PacedCaller, options.callers - idle, run_end)
    tasks += start(PacedCaller, idle, fault_at)
    tasks += start(PacedCaller, OTHER_CALLERS, run_end, scenario.other_kinds,
                   OTHERS_PAUSE_S)
    await asyncio.sleep(fault_at - time.monotonic())
    peak, resident = memory(fleet, "VmHWM"), memory(fleet, "VmRSS")
    fleet.hold_upstream_fault(FAULT_S + AFTER_S)
    begin(fleet, scenario)
    tasks += start(IdleReader, idle, fault_end)
    tasks += start(LargeBodyCaller, scenario.large_bodies, fault_end)
    await asyncio.sleep(fault_end - time.monotonic())
    end(fleet)
    await asyncio.sleep(run_end - time.monotonic())
    rise = most_rise(memory(fleet, "VmHWM"), peak)
    held = most_rise(memory(fleet, "VmRSS"), resident)
    restarts = sum(host.incarnation - 1 for host in fleet.hosts)
    await asyncio.gather(*tasks)
    others = ledger.others_served(fault_at, fault_end)
    calm = ledger.others_served(0, fault_at)
    share = sum(others) / max(1, len(others))
    if rise > MOST_RISE_MB:
        ledger.violate("memory", f"the peak rose by {rise:.0f} MB")
    if held > MOST_RISE_MB:
        ledger.violate("memory", f"{held:.0f} MB more than in calm are held "
                       f"{AFTER_S:.0f} s after the fault")
    if not others or share < LEAST_SERVED:
        ledger.violate("served", f"{sum(others)} of {len(others)} requests of others")
    if restarts:
        ledger.violate("memory", f"{restarts} hosts ended")
    return {"peak_in_calm_mb": round(max(peak)), "peak_rise_mb": round(rise),
            "held_after_mb": round(held), "others": len(others),
            "others_served": round(share, 3),
            "served_in_calm": round(sum(calm) / max(1, len(calm)), 3),
            "at_faulty": len(ledger.at_faulty),
            "of_faulty_callers": len(ledger.of_faulty_callers),
            "late_loop_s": round(ledger.budget.lag.since(fault_at), 2)}


async def run(options):
    asyncio.get_running_loop().set_exception_handler(ignore_cancelled)
    rng = random.Random(options.seed)
    ledger = PouringLedger()
    folder = options.logs or tempfile.mkdtemp(prefix="teaselhill-unending-")
    os.makedirs(folder, exist_ok=True)
    fleet = PouringFleet(ledger, rng, options, folder, network(options.seed))
    try:
        figures = await play(options, fleet, ledger, rng)
    finally:
        await fleet.stop()
        await close_connections()
    for example in ledger.examples:
        print(example)
    print(json.dumps({
        "scenario": options.scenario, "seed": options.seed,
        "processes": options.processes, "callers": options.callers, **figures,
        "requests": dict(sorted(ledger.requests.items())),
        "broken": dict(ledger.broken), "logs": folder}))
    return 1 if any(ledger.broken[name]
                    for name in (*CHECKED, "memory", "served")) else 0


def main():
    parser = parser_of(__doc__)
    parser.add_argument("scenario", choices=SCENARIOS)
    parser.add_argument("--callers", type=int, default=40)
    raise SystemExit(asyncio.run(run(parser.parse_args())))


if __name__ == "__main__":
    main()
