"""Callers that keep connections open and check every answer."""

import asyncio
import time
import uuid

import broken_answers
import http_io
import prompts
import upstream
from budget import DEADLINE_S
from plan import IN_FORCE_S
from versions import CONTACT_S, ReceivedBody, take_up

PATHS = {"safe": "/safe/x", "once": "/once/x", "stream": "/stream/x",
         "draft": "/draft/x"}
STREAMS = ("stream", "draft")
# Time before the deadline of a request at which its host gives it up.
DEADLINE_MARGIN_S = 0.1
LEAVES_AFTER_PIECE = 0.2  # of the callers that leave a stream to take it up
QUEUE_FULL = b'"code":2001'  # refused because answers would begin too late
QUARANTINED = b'"code":2006'  # refused because the request crashes upstreams


# Time without a disturbance of a host after which it must lose nothing, and time
# after which a request counts as read though no upstream has it.
CALM_S = 8
LOSS_SLACK_S = 0.2

# Part of the requests with which callers have a habit, and the time that a body
# takes which is sent slowly.
HABIT_PART = 0.2
SLOW_BODY_S = (0.3, 2.0)


# Time between the requests of a connection.
PAUSE_S = (0.01, 0.08)


class Caller:
    pause_s = PAUSE_S

    def __init__(self, fleet, ledger, rng):
        self.fleet = fleet
        self.ledger = ledger
        self.rng = rng
        self.unfinished = None  # stream to take up: (request id, what came)

    async def run(self, end):
        while time.monotonic() < end:
            host = self.fleet.pick(self.rng)
            if host is None:
                await asyncio.sleep(0.05)
                continue
            try:
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection(*host.callers), 1)
            except (OSError, asyncio.TimeoutError):
                await asyncio.sleep(0.05)
                continue
            try:
                await self.use(host, reader, writer, end)
            finally:
                writer.close()
            if self.unfinished:
                await take_up(self.fleet, self.ledger, self.rng,
                              *self.unfinished)
                self.unfinished = None

    async def use(self, host, reader, writer, end):
        """Sends requests on one connection until it closes."""
        incarnation = host.incarnation
        while time.monotonic() < end:
            await asyncio.sleep(self.rng.uniform(*self.pause_s))
            sent = [await self.send(host, writer)]
            if self.has_habit():
                sent.append(await self.send(host, writer, at_once=True))
            if self.rng.random() < 0.02:
                # Leaves before the answer.
                self.ledger.left |= {request_id for _, request_id, _ in sent}
                return
            while sent:
                kind, request_id, sent_at = sent.pop(0)
                try:
                    keep = await asyncio.wait_for(
                        self.check(host, incarnation, request_id, kind, sent_at,
                                   reader), 6)
                except asyncio.TimeoutError:
                    if not host.disturbed_within(8):
                        self.ledger.violate("answer", f"{request_id} got none")
                    return
                if not keep:
                    return self.lost_behind(host, incarnation, sent)

    def has_habit(self):
        """Some callers, if the options say so, send a request right behind another
        or send a body slowly."""
        return self.fleet.options.caller_habits and self.rng.random() < HABIT_PART

    def pick_kind(self):
        return self.rng.choice(list(PATHS))

    async def send(self, host, writer, at_once=False):
        """Returns kind, id and time of a request. `at_once`: its body is not slow, so
        that it is whole before its caller knows that the connection will end."""
        kind = self.pick_kind()
        if time.monotonic() < self.fleet.drafts_until:
            kind = self.rng.choice(["draft", "draft", "draft", "stream"])
        request_id = uuid.UUID(int=self.rng.getrandbits(128)).hex
        body = b"" if kind == "safe" else self.rng.randbytes(
            self.rng.choice([0, 20, 3000]))
        team, key = self.rng.choice(self.fleet.keys)
        data = http_io.head(
            f"{'GET' if kind == 'safe' else 'POST'} {PATHS[kind]} HTTP/1.1",
            {"Host": "h.example", "X-Attempt-Id": request_id,
             "Authorization": f"Bearer {key}", "X-Deadline-Ms": 4000,
             "X-Kv-Hold": "forged", "X-Tenant": "forged",
             "Content-Length": len(body),
             **prompts.headers(kind, self.parts())}) + body
        if body and not at_once and self.has_habit():
            writer.write(data[:-len(body) // 2])
            data = data[-len(body) // 2:]
            await asyncio.sleep(self.rng.uniform(*SLOW_BODY_S))
        self.ledger.on_sent(request_id, kind, PATHS[kind], team, body, host)
        writer.write(data)
        return kind, request_id, time.monotonic()

    def lost_behind(self, host, incarnation, sent):
        """The connection has ended before requests that were sent behind another."""
        if not self.unfinished:
            for _, request_id, sent_at in sent:
                self.lost(host, incarnation, request_id, sent_at)

    def parts(self):
        """Some have a part that crashes upstreams as their own, which is harmless."""
        harmless = [part for part in self.fleet.crashing_parts
                    if self.rng.random() < 0.05]
        own = harmless[0] if harmless else prompts.own_part(self.rng)
        return [*prompts.sound_parts(self.rng), own]

    async def check(self, host, incarnation, request_id, kind, sent_at, reader):
        try:
            answer = await http_io.read_head(reader)
        except (http_io.TornMessage, ConnectionError):
            answer = None
        if answer is None:
            self.lost(host, incarnation, request_id, sent_at)
            return False
        line, headers = answer
        status = int(line.split()[1])
        self.ledger.on_status(request_id, status)
        if kind in STREAMS and not host.disturbed_within(CONTACT_S):
            self.ledger.versions.begun[status == 200] += 1
        received = ReceivedBody()
        leaves = (kind in STREAMS and status == 200
                  and self.rng.random() < self.fleet.options.takes)
        try:
            async for piece in http_io.read_body(reader, headers):
                events = received.append(piece)
                if kind in STREAMS and status == 200:
                    self.ledger.versions.on_received(request_id, events)
                if leaves and self.rng.random() < LEAVES_AFTER_PIECE:
                    self.unfinished = (request_id, bytes(received.data))
                    return False
        except (http_io.TornMessage, ConnectionError):
            self.ledger.requests["cut"] += 1
            # An upstream may begin with an answer that is no stream at all.
            if headers.get("content-type") == "text/event-stream":
                self.check_beginning(request_id, bytes(received.data))
            if kind in STREAMS and status == 200 and self.fleet.options.takes:
                self.unfinished = (request_id, bytes(received.data))
            self.lost(host, incarnation, request_id, sent_at)
            return False
        body = bytes(received.data)
        if status == 200:
            self.check_whole(request_id, kind, headers, body)
        elif status in (500, 502, 504) and self.is_calm(host, incarnation,
                                                        request_id, sent_at):
            self.ledger.violate("lost", f"{request_id} got {status}")
        elif kind == "stream" and QUEUE_FULL in body:
            self.ledger.violate("urgent", f"{request_id} was refused for less "
                                "urgent requests")
        elif QUARANTINED in body:
            self.ledger.violate("innocent", f"{request_id} was refused, but "
                                "crashes no upstream")
        elif status in (401, 404) and self.is_allowed(host, request_id, sent_at):
            self.ledger.violate("denied", f"{request_id} got {status}")
        return headers.get("connection", "").lower() != "close"

    def check_whole(self, request_id, kind, headers, body):
        if headers.get("x-attempt-id") != request_id:
            self.ledger.violate("mixed", f"{request_id} got another's answer")
        if kind in STREAMS:
            if upstream.without_versions(body) != upstream.WHOLE_STREAM:
                self.ledger.violate("order", f"{request_id}: {body[-60:]}")
        elif headers.get("x-server-seal") != upstream.checksum(request_id, body):
            self.ledger.violate("mixed", f"{request_id} has a wrong body")

    def check_beginning(self, request_id, body):
        whole = body[:body.rfind(b"\n\n") + 2]
        if not upstream.WHOLE_STREAM.startswith(upstream.without_versions(whole)):
            self.ledger.violate("order", f"{request_id}, cut: {body[-60:]}")

    def is_allowed(self, host, request_id, sent_at):
        """Whether all versions that the host may have used have route and key."""
        kind, _, team, _ = self.ledger.sent[request_id]
        since = 0 if host.disturbed_within(CALM_S) else sent_at - IN_FORCE_S
        return self.fleet.plan.allows(kind, team, since)

    def is_overdue(self, request_id, sent_at):
        kind = self.ledger.sent[request_id][0]
        limit = min(DEADLINE_S,
                    self.fleet.plan.timeout_s(kind, sent_at - IN_FORCE_S))
        return time.monotonic() > sent_at + limit - DEADLINE_MARGIN_S

    def is_calm(self, host, incarnation, request_id, sent_at):
        """Whether host and upstreams were sound, the host ran the build under test,
        and the request was allowed and had time left."""
        options = self.fleet.options
        if host.binaries[incarnation] != options.binary:
            return False
        unsound = [name for name, _ in options.upstream_faults
                   if name not in broken_answers.SOUND]
        return not (host.disturbed_within(CALM_S) or unsound or options.crashing
                    or options.crashing_parts or options.brittle is not None
                    or self.fleet.upstreams_disturbed_since(sent_at - 3)
                    or not self.is_allowed(host, request_id, sent_at)
                    or self.is_overdue(request_id, sent_at))

    def lost(self, host, incarnation, request_id, sent_at):
        """A shutdown by SIGTERM alone must not cut what reached an upstream, and
        nothing may cut what was read while all else is sound."""
        self.ledger.served[request_id] = False
        read = (self.ledger.runs[request_id]
                or time.monotonic() > sent_at + LOSS_SLACK_S)
        if read and self.is_calm(host, incarnation, request_id, sent_at):
            self.ledger.violate("lost", f"{request_id} was cut by {host.name}")
        planned = host.only_terminated(sent_at, incarnation)
        faulty = self.fleet.upstreams_disturbed_since(sent_at - 3)
        if (planned and not faulty and not self.is_overdue(request_id, sent_at)
                and self.ledger.runs[request_id]):
            self.ledger.violate("cut", f"{request_id} was cut by a shutdown "
                                f"of {host.name}")
