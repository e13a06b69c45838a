"""Randomized fault soak of the gateway; see scripts/soak.sh."""

import argparse
import asyncio
import collections
import gc
import json
import os
import random
import tempfile
import time

from brittle import BrittleWatch, check as check_brittle
from caller import Caller
from crash_styles import STYLES
from crashing import (CONTACT_S, MOST_LATE_ARRIVALS, PAUSE_S, CrashingCaller,
                      CrashingPart, CrashingRequest)
from cuts import CUT_MODES
from faults import (FAULTS, FURTHER_FAULTS, cut_from_store, disturb_store, freeze,
                    kill)
from fleet import Fleet
from ledger import Ledger
from limits import check_use
from probes import ConfigProbe
from upstream import RESTART_S, SLOTS

CALLERS_PER_HOST = 4

# Memory of a host on the smaller of the users' installations.
MOST_MEMORY_MB = 110

# Each caller's request takes about five descriptors of the soak: caller, proxy
# and upstream. With 480 callers it ran out of them.
MOST_CALLERS = 160

# Time from the readiness of the hosts to an outage that lasts to the end.
STORE_AWAY_AFTER_S = 1.0

# A host that was disturbed learns late that an upstream leaves, so a run either
# disturbs hosts or checks the bound on leaving upstreams.
HOST_FAULTS = (disturb_store, cut_from_store, freeze, kill)


def upstream_fault(text):
    name, _, part = text.partition("=")
    return name, float(part)


def network(seed):
    """Loopback addresses of their own for runs beside each other."""
    return f"127.{10 + seed // 200 % 200}.{20 + seed % 200}"


async def inject(fleet, rng, end, counts, only):
    """Starts faults one after the other; their effects overlap. `only`: names of
    the faults to choose from; empty: all."""
    calm = rng.random() < 0.4
    fleet.leaving_checked = calm
    faults = [f for f in FAULTS if not (calm and f in HOST_FAULTS)
              and (not only or f.__name__ in only)]
    faults += [f for f in FURTHER_FAULTS if f.__name__ in only]
    running = set()
    while faults and time.monotonic() < end:
        fault = rng.choice(faults)
        for _ in range(rng.choice([1, 1, 1, 2, 3])):
            counts[fault.__name__] += 1
            task = asyncio.create_task(fault(fleet, rng.choice(fleet.hosts)))
            running.add(task)
            task.add_done_callback(running.discard)
        await asyncio.sleep(rng.uniform(0.1, 1.2))
    if running:
        await asyncio.wait(running, timeout=4)


async def keep_store_away(fleet, seconds):
    """The hosts know of each other, and then the store is down to the end."""
    await asyncio.sleep(STORE_AWAY_AFTER_S)
    await fleet.store.disturb("down", seconds)


def ignore_cancelled(loop, context):
    """Connections that are open at the end are cancelled, which is no fault."""
    if not isinstance(context.get("exception"), asyncio.CancelledError):
        loop.default_exception_handler(context)


async def play(options, fleet, ledger, rng, counts):
    """Starts the hosts and lets callers, probes and faults run beside each other."""
    await fleet.start(options.processes)
    asyncio.create_task(ledger.budget.lag.watch())
    await fleet.wait_until_ready()
    end = time.monotonic() + options.seconds
    callers = [Caller(fleet, ledger, random.Random(rng.random())).run(end + 2)
               for _ in range(min(CALLERS_PER_HOST * options.processes,
                                  MOST_CALLERS))]
    probes = [ConfigProbe(fleet, ledger, host, random.Random(rng.random()))
              .run(end) for host in fleet.hosts]
    crashing = [CrashingRequest(fleet, random.Random(rng.random()))
                for _ in range(options.crashing)]
    crashing += [CrashingPart(fleet, random.Random(rng.random()),
                              options.part_first)
                 for _ in range(options.crashing_parts)]
    first_at = time.monotonic()
    if options.store_away:
        first_at += 2 * STORE_AWAY_AFTER_S
    senders = [CrashingCaller(fleet, ledger, request, random.Random(rng.random()),
                              options.pause).run(first_at, end)
               for request in crashing for _ in range(options.senders)]
    if options.limit_all is not None:
        for each in fleet.upstreams:
            each.name_limit(options.limit_all)
    brittle = [each for each in fleet.upstreams if each.service == "llm"
               and options.brittle is not None]
    for each in brittle:
        each.brittle = BrittleWatch(options.brittle,
                                    options.room or options.slots)
        fleet.register(each)
    if options.store_away:
        asyncio.create_task(keep_store_away(fleet, options.seconds))
    await asyncio.gather(inject(fleet, random.Random(rng.random()), end, counts,
                                options.faults),
                         *callers, *probes, *senders)
    for request in crashing:
        request.check(ledger, options)
    check_served_after(ledger, crashing, options)
    for host in fleet.hosts:
        memory = host.peak_memory_mb()
        if memory > MOST_MEMORY_MB:
            ledger.violate("memory", f"{host.name} took {memory:.0f} MB")
    for each in fleet.upstreams:
        each.limits.check(ledger, each.name)
        each.notices.check(ledger, each.name)
    if brittle:
        check_brittle(ledger, [each.brittle for each in brittle], end)
    if options.limit_all is not None:
        check_use(ledger, fleet.upstreams, end)


def check_no_crashes(ledger, folder):
    """No upstream crashes, so no host may tell the others of a crash."""
    for name in sorted(os.listdir(folder)):
        with open(os.path.join(folder, name), errors="replace") as log:
            shared = sum('"crash_records_shared"' in line for line in log)
        if shared:
            ledger.violate("blamed", f"{name}: records shared {shared} times")


def check_served_after(ledger, crashing, options):
    """Innocent requests are served once the causes of crashes are found."""
    last_crash = max((at for cause in crashing for at in cause.watch.crashes),
                     default=0)
    served = [is_served for sent_at, is_served in ledger.answers
              if sent_at > last_crash + 2 * CONTACT_S]
    if served and sum(served) < options.least_served_after * len(served):
        ledger.violate("served", f"{sum(served)} of {len(served)} innocent "
                       "requests after the last crash")


async def close_connections():
    """Closes what is still open. A stream writer that is collected once the loop
    is closed prints a trace, and thousands of them hide the result."""
    for item in gc.get_objects():
        if isinstance(item, asyncio.StreamWriter):
            item.close()
    await asyncio.sleep(0)


async def run(options):
    asyncio.get_running_loop().set_exception_handler(ignore_cancelled)
    rng = random.Random(options.seed)
    ledger = Ledger()
    folder = options.logs or tempfile.mkdtemp(prefix="teaselhill-soak-")
    os.makedirs(folder, exist_ok=True)
    fleet = Fleet(ledger, rng, options, folder, network(options.seed))
    counts = collections.Counter()
    try:
        await play(options, fleet, ledger, rng, counts)
    finally:
        await fleet.stop()
        await close_connections()
    ledger.budget.check(ledger)
    ledger.versions.check(ledger)
    fleet.cuts.check(ledger)
    if set(options.faults) == {"cut_hosts_off"}:
        check_no_crashes(ledger, folder)
    for example in ledger.examples:
        print(example)
    promises = ["twice", "not_run", "mixed", "order", "unasked", "leaving",
                "cut", "denied", "answer", "config_late", "config_backwards",
                "urgent", "crashing", "crashes", "innocent", "attempts", "deadline",
                "lost", "repeats", "served", "limit", "limit_use", "wait", "versions", "takes", "cut_off", "blamed", "falls", "endless", "memory"]
    served = sum(n for name, n in ledger.requests.items()
                 if name.endswith("_200"))
    if served < 5 * options.seconds:
        ledger.violate("answer", f"only {served} requests were served")
    innocent = sum(n for name, n in ledger.requests.items()
                   if name[-4:-3] == "_" and not name.startswith("crashing"))
    served_part = served / max(1, innocent)
    if served_part < options.least_served:
        ledger.violate("served", f"{served} of {innocent} innocent requests")
    print(json.dumps({
        "seed": options.seed, "seconds": options.seconds,
        "processes": options.processes, "logs": folder,
        "faults": dict(sorted(counts.items())),
        "requests": dict(sorted(ledger.requests.items())),
        "served_part": round(served_part, 3),
        "broken": {name: ledger.broken[name] for name in promises}}))
    return 1 if set(ledger.broken) - set(options.known_red) else 0


def parser_of(description):
    """The options that a fleet, its upstreams and its callers use, and the soak's."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--processes", type=int, default=4)
    parser.add_argument("--crashing", type=int, default=0,
                        help="callers whose request crashes its upstreams")
    parser.add_argument("--crashing-parts", type=int, default=0,
                        help="parts of prompts that crash upstreams")
    parser.add_argument("--part-first", action="store_true",
                        help="such a part is the first of its prompts")
    parser.add_argument("--pause", type=float, nargs=2, default=PAUSE_S,
                        help="seconds between crashing requests, from and to")
    parser.add_argument("--crash-styles", nargs="+", default=["refuse"],
                        choices=STYLES, help="what crashed upstreams look like; "
                        "each crash has one of them")
    parser.add_argument("--crash-after", type=float, default=0,
                        help="seconds from the start of a crashing request's run "
                        "to the crash")
    parser.add_argument("--senders", type=int, default=1,
                        help="callers that send each crashing request")
    parser.add_argument("--down", type=float, nargs=2, default=RESTART_S,
                        help="seconds until a crashed upstream is back, from and to")
    parser.add_argument("--most-late", type=int, default=MOST_LATE_ARRIVALS,
                        help="arrivals of a crashing request that are tolerated "
                        "after the bound")
    parser.add_argument("--most-crashes", type=int, default=1000,
                        help="upstreams that one request may crash")
    parser.add_argument("--least-served", type=float, default=0,
                        help="part of the innocent requests that must be answered")
    parser.add_argument("--least-served-after", type=float, default=0,
                        help="the same from 6 s after the last crash of a cause on")
    parser.add_argument("--limit-all", type=float, help="requests a second "
                        "that each upstream names as its limit from the start")
    parser.add_argument("--store-away", action="store_true",
                        help="the store is down from shortly after the start on")
    parser.add_argument("--brittle", type=int, help="refusals a second above "
                        "which engines fall over, from the start on")
    parser.add_argument("--slots", type=int, default=SLOTS,
                        help="streams that an engine runs at once")
    parser.add_argument("--room", type=int, help="streams that an engine runs at "
                        "once if memory lets it run fewer than it has slots")
    parser.add_argument("--cut-mode", choices=CUT_MODES, help="how hosts are cut "
                        "off from upstreams; default: each way in turn")
    parser.add_argument("--versions", type=int, default=1, help="software "
                        "versions of the engines, which serve side by side")
    parser.add_argument("--single-version", action="store_true",
                        help="one of the versions has a single engine")
    parser.add_argument("--takes", type=float, default=0, help="part of the "
                        "streams that callers leave and take up at any host")
    parser.add_argument("--take-pause", type=float, nargs=2, default=(0, 0),
                        help="seconds until a caller takes a stream up, from and to")
    parser.add_argument("--count-all-takes", action="store_true",
                        help="takes count also at hosts that were just disturbed")
    parser.add_argument("--new-ids", action="store_true",
                        help="a restarted upstream has a new id")
    parser.add_argument("--faults", nargs="*", default=[],
                        help="names of the faults to choose from; default: all")
    parser.add_argument("--upstream-faults", nargs="*", default=[],
                        type=upstream_fault, metavar="FAULT=PART",
                        help="part of the answers of all upstreams with a fault "
                        "from the start to the end; see upstream.py")
    parser.add_argument("--other-services", action="store_true",
                        help="a second service beside each, and a third team, for "
                        "change_routes")
    parser.add_argument("--caller-habits", action="store_true",
                        help="some callers send a request right behind another, or "
                        "a body slowly")
    parser.add_argument("--reports", action="store_true",
                        help="engines answer questions for their load")
    parser.add_argument("--known-red", nargs="*", action="extend", default=[],
                        help="promises that are reported but fail no run")
    parser.add_argument("--binary", default="build/bin/teaselhill-gateway")
    parser.add_argument("--version-change-period", type=float, default=2.0,
                        help="seconds between engines that change their version")
    parser.add_argument("--production", help="another build of the gateway, which "
                        "every second host starts with")
    parser.add_argument("--logs", help="folder for the hosts' logs")
    parser.add_argument("--grace", type=float, default=6,
                        help="seconds that a host has from SIGTERM to its end")
    parser.add_argument("--ram-mb", type=int, help="memory that hosts are told "
                        "they have; default: none is named")
    parser.add_argument("--answer-seconds", type=float, nargs=2,
                        help="time that sound answers take, from and to; default: "
                        "some milliseconds, and half a second for streams")
    return parser


def main():
    raise SystemExit(asyncio.run(run(parser_of(__doc__).parse_args())))


if __name__ == "__main__":
    main()
