"""Planned stops of hosts in calm: what becomes of the requests that they read; see
test/planned-stop.sh."""

import asyncio
import collections
import json
import os
import random
import signal
import tempfile
import time

import http_io
from budget import DEADLINE_S
from caller import DEADLINE_MARGIN_S, LOSS_SLACK_S, Caller
from faults import terminate
from fleet import Fleet
from ledger import Ledger
from soak import close_connections, ignore_cancelled, network, parser_of
from upstream import Upstream

# Time from the readiness of the hosts to the stop, and from the end of the grace to
# the end of the run.
CALM_S = 3.0
AFTER_S = 1.5

# A host that was stopped doesn't come back in the run.
NO_RESTART_S = 600.0

# Part of the connections that callers open to a host that is stopped in the run,
# until its process has ended.
CHOSEN_PART = 0.6

SECOND_STOP_AFTER_S = 1.0
RELOADS_AFTER_S = (0.5, 1.5)
STORE_SILENCE_S = 3.0
RELAY_FOUND_S = 2.0  # time after which a host without upstreams serves through others

MOST_EXAMPLES = 10

REFUSED = (408, 421, 429, 503)
UNKNOWN = (500, 502, 504)
KNOWN = ("answered", "refused", "unread")  # outcomes that tell whether it ran

# Promises that a stop must not break. Streams may be cut at the end of a grace that
# is shorter than they are, so `cut` and `lost` are reported only.
CHECKED = ("twice", "not_run", "mixed", "order", "unasked", "answer")


class StopLedger(Ledger):
    def __init__(self):
        super().__init__()
        self.statuses = {}  # request id: status
        self.unanswered = set()  # ids of requests that were cut, or got no answer

    def on_status(self, request_id, status, name=None):
        super().on_status(request_id, status, name)
        self.statuses[request_id] = status


class StopWatch:
    """Outcomes of the requests that hosts had when they were stopped, or got later."""

    def __init__(self, ledger):
        self.ledger = ledger
        self.since = {}  # host: time from which on its requests count
        self.counts = collections.Counter()
        self.examples = []

    def on_end(self, host, request_id, kind, sent_at, behind=False):
        """`behind`: an answer before it on its connection was cut."""
        now = time.monotonic()
        if now < self.since.get(host, float("inf")):
            return
        outcome = self.outcome(request_id, now - sent_at, behind)
        self.counts["sent"] += 1
        self.counts[outcome] += 1
        if kind == "once" and outcome not in KNOWN:
            self.counts[f"once_{outcome}"] += 1
        if outcome == "no_answer":
            since = self.since[host]
            self.examples.append(
                f"{request_id} ({kind}{', behind another' * behind}, ran "
                f"{len(self.ledger.runs[request_id])} times) was sent to {host.name} "
                f"{sent_at - since:.2f} s after the stop and got no answer; its "
                f"connection ended at {now - since:.2f} s")

    def outcome(self, request_id, seconds, behind):
        """`seconds`: time from the last byte of the request to its end. A request
        that waits behind another until its deadline can't be answered once the
        answer before it has been cut."""
        status = self.ledger.statuses.get(request_id)
        if request_id in self.ledger.unanswered:
            if status is not None:
                return "cut"
            if behind and seconds > DEADLINE_S - DEADLINE_MARGIN_S:
                return "behind_cut"
            read = seconds > LOSS_SLACK_S or self.ledger.runs[request_id]
            return "no_answer" if read else "unread"
        if status in REFUSED:
            return "refused"
        return "unknown" if status in UNKNOWN else "answered"


class StopCaller(Caller):
    def __init__(self, fleet, ledger, rng, watch):
        super().__init__(fleet, ledger, rng)
        self.watch = watch

    async def check(self, host, incarnation, request_id, kind, sent_at, reader):
        keep = await super().check(host, incarnation, request_id, kind, sent_at,
                                   reader)
        self.watch.on_end(host, request_id, kind, sent_at)
        return keep

    def lost(self, host, incarnation, request_id, sent_at):
        super().lost(host, incarnation, request_id, sent_at)
        self.ledger.unanswered.add(request_id)

    def lost_behind(self, host, incarnation, sent):
        super().lost_behind(host, incarnation, sent)
        for kind, request_id, sent_at in sent:
            self.watch.on_end(host, request_id, kind, sent_at, behind=True)


class FullUpstream(Upstream):
    """Refuses requests as not run while as many as the options say are at work."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.open = 0

    async def answer(self, request, body, reader, writer):
        if request[0].split()[1] in ("/healthz", "/v1/report"):
            return await super().answer(request, body, reader, writer)
        if self.options.full_at is not None and self.open >= self.options.full_at:
            writer.write(http_io.response(503, {"X-Not-Run": 1}))
            return True
        self.open += 1
        try:
            return await super().answer(request, body, reader, writer)
        finally:
            self.open -= 1


class StopFleet(Fleet):
    upstream_type = FullUpstream

    def pick(self, rng):
        chosen = [self.hosts[0]]
        if self.options.further in ("stop_second", "stop_two", "relay"):
            chosen.append(self.hosts[-1])
        chosen = [host for host in chosen if host.process.returncode is None]
        if chosen and rng.random() < CHOSEN_PART:
            return rng.choice(chosen)
        return super().pick(rng)


async def stop(fleet, watch, host):
    host.restart_s = NO_RESTART_S
    watch.since[host] = time.monotonic()
    await terminate(fleet, host)


async def no_further(fleet, watch, host):
    """One host stops, and nothing else happens."""


async def stop_second(fleet, watch, host):
    await asyncio.sleep(SECOND_STOP_AFTER_S)
    await stop(fleet, watch, fleet.hosts[-1])


async def stop_two(fleet, watch, host):
    await stop(fleet, watch, fleet.hosts[-1])


async def reload(fleet, watch, host):
    for seconds in RELOADS_AFTER_S:
        await asyncio.sleep(seconds)
        host.write_settings(extra=seconds)
        host.send(signal.SIGHUP)


async def configure(fleet, watch, host):
    for seconds in RELOADS_AFTER_S:
        await asyncio.sleep(seconds)
        fleet.put_config()


async def silence_store(fleet, watch, host):
    await host.store_proxy.disturb("silent", STORE_SILENCE_S)


async def relay(fleet, watch, host):
    """The last host reaches no upstream and is served by the others."""
    watch.since[fleet.hosts[-1]] = watch.since[host]


FURTHER = {f.__name__: f for f in (no_further, stop_second, stop_two, reload,
                                   configure, silence_store, relay)}


async def play(options, fleet, ledger, rng, watch):
    await fleet.start(options.processes)
    await fleet.wait_until_ready()
    end = time.monotonic() + CALM_S + options.grace + AFTER_S
    callers = [asyncio.create_task(StopCaller(
        fleet, ledger, random.Random(rng.random()), watch).run(end))
               for _ in range(options.callers)]
    if options.further == "relay":
        await asyncio.sleep(CALM_S - RELAY_FOUND_S)
        cut = fleet.upstreams_of(fleet.hosts[-1].number)
        cuts = [asyncio.create_task(each.proxy.cut(
            cut, "reset", end - time.monotonic())) for each in fleet.upstreams]
        await asyncio.sleep(RELAY_FOUND_S)
    else:
        cuts = []
        await asyncio.sleep(CALM_S)
    await stop(fleet, watch, fleet.hosts[0])
    await FURTHER[options.further](fleet, watch, fleet.hosts[0])
    await asyncio.gather(*callers, *cuts)
    for each in watch.since:
        if each.terminated and each.process.returncode is None:
            ledger.violate("answer", f"{each.name} runs on after its grace")


async def run(options):
    asyncio.get_running_loop().set_exception_handler(ignore_cancelled)
    rng = random.Random(options.seed)
    ledger = StopLedger()
    watch = StopWatch(ledger)
    folder = options.logs or tempfile.mkdtemp(prefix="teaselhill-stop-")
    os.makedirs(folder, exist_ok=True)
    fleet = StopFleet(ledger, rng, options, folder, network(options.seed))
    try:
        await play(options, fleet, ledger, rng, watch)
    finally:
        await fleet.stop()
        await close_connections()
    if not watch.counts["answered"]:
        ledger.violate("answer", "no request was answered in the stop")
    for example in [*ledger.examples, *watch.examples[:MOST_EXAMPLES]]:
        print(example)
    names = ("sent", "answered", "refused", "unknown", "cut", "behind_cut", "no_answer",
             "unread", "once_unknown", "once_cut", "once_no_answer")
    print(json.dumps({
        "seed": options.seed, "processes": options.processes,
        "callers": options.callers, "grace_s": options.grace,
        "answer_s": options.answer_seconds, "further": options.further,
        "requests": {name: watch.counts[name] for name in names},
        "broken": dict(ledger.broken), "logs": folder}))
    broken = any(ledger.broken[name] for name in CHECKED)
    return 1 if broken or watch.counts["no_answer"] else 0


def main():
    parser = parser_of(__doc__)
    parser.add_argument("--callers", type=int, default=90)
    parser.add_argument("--further", choices=FURTHER, default="no_further",
                        help="what happens in the grace of the host that stops")
    parser.add_argument("--full-at", type=int, help="requests at an upstream from "
                        "which on it refuses others")
    raise SystemExit(asyncio.run(run(parser.parse_args())))


if __name__ == "__main__":
    main()
