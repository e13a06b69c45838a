"""Callers whose requests crash each upstream that begins to run or answer them."""

import asyncio
import time
import uuid

import http_io
import prompts

BODY_MARK = b"crashes its upstream"

# The request comes again after this pause, at any host.
PAUSE_S = (0.1, 0.6)

# Crashes after which the hosts must stop sending a request, or requests with one
# part, the time in which they must all have stopped, and the sends that are
# tolerated after that time.
MOST_CRASHES = 3
MOST_CRASHES_OF_PART = 5
CONTACT_S = 3.0
MOST_LATE_ARRIVALS = 3


class CrashWatch:
    """Arrivals and crashes of one cause, over all its attempts."""

    def __init__(self, fleet, most_crashes=MOST_CRASHES, answers=False):
        self.fleet = fleet
        self.most_crashes = most_crashes
        self.answers = answers  # the upstream begins to answer before it crashes
        self.hosts = {}  # request id: host that it was sent to
        self.crashes = []
        self.arrivals = 0
        self.late = 0

    def on_run(self, request_id, now):
        self.arrivals += 1
        self.fleet.hold_upstream_fault(CONTACT_S)
        host = self.hosts[request_id]
        if (len(self.crashes) >= self.most_crashes
                and now > self.crashes[self.most_crashes - 1] + CONTACT_S
                and not host.disturbed_within(CONTACT_S)):
            self.late += 1

    def on_crash(self, now):
        self.crashes.append(now)


class Cause:
    """What crashes the upstreams, with the watch on it."""

    def __init__(self, watch):
        self.watch = watch

    def check(self, ledger, options):
        watch = self.watch
        ledger.requests["crashing_runs"] += watch.arrivals
        ledger.requests["crashing_late"] += watch.late
        ledger.requests["crashing_crashes"] += len(watch.crashes)
        if watch.late > options.most_late:
            ledger.violate("crashing", f"{self.kind}: {watch.late} arrivals over "
                           f"{CONTACT_S} s after crash {watch.most_crashes}, "
                           f"{watch.arrivals} in all")
        if len(watch.crashes) > options.most_crashes:
            ledger.violate("crashes", f"{self.kind}: {len(watch.crashes)} "
                           "upstreams crashed")


class CrashingPart(Cause):
    """A part of prompts; what else the requests hold differs each time."""

    kind = "part"

    def __init__(self, fleet, rng, first):
        super().__init__(CrashWatch(fleet, MOST_CRASHES_OF_PART, answers=True))
        self.first = first
        self.part = prompts.part(0xc00 + rng.getrandbits(8), 50)
        fleet.crashing_parts.append(self.part)

    def pick(self, fleet, rng):
        parts = prompts.sound_parts(rng)
        parts.insert(0 if self.first else rng.randint(1, 2), self.part)
        return (rng.choice(prompts.KINDS), rng.choice(fleet.keys),
                rng.randbytes(rng.choice([0, 20, 200])),
                [*parts, prompts.own_part(rng)])


class CrashingRequest(Cause):
    """What its senders have in common: path, key, prompt and body."""

    def __init__(self, fleet, rng):
        super().__init__(CrashWatch(fleet))
        self.kind = rng.choice(["stream", "draft", "safe", "once"])
        self.key = rng.choice(fleet.keys)
        self.body = BODY_MARK + rng.randbytes(rng.choice([0, 200]))

    def pick(self, fleet, rng):
        return self.kind, self.key, self.body, []


class CrashingCaller:
    """Sends requests with one cause again and again, with a new id each time."""

    def __init__(self, fleet, ledger, cause, rng, pause_s=PAUSE_S):
        self.fleet, self.ledger, self.rng = fleet, ledger, rng
        self.cause, self.pause_s = cause, pause_s

    async def run(self, first_at, end):
        await asyncio.sleep(max(0, first_at - time.monotonic()))
        while time.monotonic() < end:
            host = self.fleet.pick(self.rng)
            if host is not None:
                asyncio.create_task(self.send(host))
            await asyncio.sleep(self.rng.uniform(*self.pause_s))

    async def send(self, host):
        kind, (team, key), body, parts = self.cause.pick(self.fleet, self.rng)
        request_id = uuid.UUID(int=self.rng.getrandbits(128)).hex
        target = f"/{kind}/x"
        self.ledger.on_sent(request_id, kind, target, team, body, host)
        self.ledger.crashing[request_id] = self.cause.watch
        self.cause.watch.hosts[request_id] = host
        writer = None
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(*host.callers), 1)
            writer.write(http_io.head(f"POST {target} HTTP/1.1", {
                "Host": "h.example", "X-Attempt-Id": request_id,
                "Authorization": f"Bearer {key}", "X-Deadline-Ms": 4000,
                "Content-Length": len(body),
                **(prompts.headers(kind, parts) if parts else {})}) + body)
            answer = await asyncio.wait_for(http_io.read_head(reader), 5)
            if answer:
                status = int(answer[0].split()[1])
                self.ledger.on_status(request_id, status, "crashing")
                await asyncio.wait_for(reader.read(), 5)
        except (OSError, asyncio.TimeoutError, http_io.TornMessage):
            pass
        finally:
            if writer:
                writer.close()
