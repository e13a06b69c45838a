"""Stand-in upstream that records what runs and misbehaves on request."""

import asyncio
import hashlib
import json
import re
import socket
import struct
import time

import http_io
from broken_answers import Silence, cut_head, failures
from crash_styles import STYLES
from limits import LimitWatch
from notices import NoticeWatch

# Answers without end, in chunks: without a length, an upstream that crashes ends
# its answer like any other. Fault, what follows the first head lines, what is repeated.
ENDLESS = (
    ("endless_head", b"", b"X-More: of the same\r\n"),
    ("endless_body", b"X-Server-Seal: none\r\nTransfer-Encoding: chunked\r\n\r\n",
     b"11\r\nmore of the same \r\n"),
    ("endless_event", b"X-Server-Seal: none\r\nContent-Type: text/event-stream"
     b"\r\nTransfer-Encoding: chunked\r\n\r\n16\r\nid: 1\ndata: some more \r\n",
     b"11\r\nmore of the same \r\n"),
    ("endless_failure", b"Connection: close\r\n\r\n", b"no event at all\n"),
)

# Time after which an answer without end must have been given up: the deadline of
# the requests, and a second.
ENDLESS_S = 5.0

EVENTS = 12
EVENT_GAP_S = (0.005, 0.04)  # before each event, from and to
CALL_S = (0.002, 0.03)  # time that an answer takes which is no stream
LOOK_S = 0.1  # time after which a waiting request looks whether its caller left
# Part of the answers that have neither a length nor chunks.
UNFRAMED_PART = 0.1
SLOTS = 2  # streams that an engine runs at once by default, an overload for three

# Time after which an upstream that a request has crashed is back.
RESTART_S = (0.8, 2.5)


def reset(writer):
    """Without a frame, an answer that is reset is the only sign of a crash."""
    try:
        writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    except OSError:
        pass  # its caller has reset it already
    writer.transport.abort()


def checksum(request_id, body):
    return hashlib.sha256(request_id.encode() + body).hexdigest()[:16]


def event(number, version):
    return f"id: {number}\ndata: piece {number} of {version}\n\n".encode()


def without_versions(events):
    return re.sub(rb" of \S+\n", b"\n", events)


# What a whole stream holds, but for the versions.
WHOLE_STREAM = without_versions(b"".join(event(number, "any")
                                         for number in range(1, EVENTS + 1)))


class Upstream:
    def __init__(self, name, service, ledger, rng, options):
        self.name = name
        self.first_name = name
        self.starts = 1
        self.options = options
        self.service = service
        self.version = "v1"
        self.ledger = ledger
        self.rng = rng
        self.faults = dict(options.upstream_faults)  # fault: probability
        self.left_at = None  # when the store accepted that it leaves
        self.cut_at = 0.0  # end of the last cut
        self.writers = set()
        self.crashes = 0
        self.born = int(time.time() * 1000)
        self.down = False
        self.dead = False
        self.slots = asyncio.Semaphore(options.room or options.slots)
        self.waiting = self.running = 0  # streams
        self.brittle = None  # watch, from when on it says that it is
        self.on_restart = lambda upstream: None
        self.host_at = lambda address: None
        self.limit = None  # requests a second that it takes from all hosts
        self.limits = LimitWatch()
        self.notices = NoticeWatch()

    async def start(self, address):
        self.server = await self.listen(address, 0)
        self.target = self.server.sockets[0].getsockname()[:2]

    def listen(self, address, port):
        """The server of one process. What it has accepted ends with it, even if
        serve() has not begun: else a process that has crashed would go on with a
        request, under the version and the start time of the next one."""
        process = self.crashes

        async def serve(reader, writer):
            if self.crashes == process:
                await self.serve(reader, writer)
            else:
                reset(writer)

        return asyncio.start_server(serve, address, port)

    def crash(self):
        self.crashes += 1
        self.server.close()
        for writer in list(self.writers):
            reset(writer)

    async def restart(self):
        """A new process, under a new id unless the options say otherwise."""
        self.server = await self.listen(*self.target)
        self.born = int(time.time() * 1000)
        self.starts += 1
        self.limits.check(self.ledger, self.name)
        self.limits = LimitWatch()
        self.limit = None
        self.notices.check(self.ledger, self.name)
        self.notices = NoticeWatch()
        if self.options.new_ids:
            self.name = f"{self.first_name}-{self.starts}"

    async def crash_for(self, seconds):
        """Crashes; a new process with the same address starts later. The process
        is lost for good if its address has been taken."""
        if self.down:
            return
        self.down = True
        style = self.options.crash_styles[0]
        if len(self.options.crash_styles) > 1:
            style = self.rng.choice(self.options.crash_styles)
        try:
            await STYLES[style](self, seconds)
        except OSError:
            self.dead = True
        self.down = False
        if not self.dead:
            self.on_restart(self)

    async def crash_under(self, watch):
        """Ends the process that runs a crashing request, if nothing else does."""
        process = self.starts
        if self.options.crash_after:
            await asyncio.sleep(self.options.crash_after)
        if self.down or self.starts != process:
            return
        watch.on_crash(time.monotonic())
        await self.crash_for(self.rng.uniform(*self.options.down))

    def name_limit(self, limit):
        """Names the limit in all answers from now on; None: no limit any more."""
        self.limit = limit
        self.limits.name(limit, time.monotonic())

    def sender(self, request_id, writer):
        """The host that sent the request here, which may not be the one that its
        caller sent it to. None for a request of no caller."""
        callers_host = self.ledger.budget.hosts.get(request_id)
        if callers_host is None:
            return None
        address = self.proxy.connected_to.get(writer.get_extra_info("peername"))
        return self.host_at(address) or callers_host

    def common_headers(self, request_id, writer):
        headers = {"X-Attempt-Id": request_id}
        if self.limit is not None:
            headers["Server-Limit"] = self.limit
            host = self.sender(request_id, writer)
            if host is not None:
                self.limits.on_answer(host, time.monotonic())
        if self.brittle:
            headers["Server-Brittle"] = self.brittle.refusals_per_second
        return {**headers, **self.notice_headers(request_id, writer)}

    def notice_headers(self, request_id, writer):
        host = self.sender(request_id, writer)
        return self.notices.headers(host, time.monotonic()) if host else {}

    def strikes(self, fault):
        return self.rng.random() < self.faults.get(fault, 0)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await http_io.read_head(reader)
                if request is None:
                    return
                body = await http_io.whole_body(reader, request[1])
                if not await self.answer(request, body, reader, writer):
                    return
        except (ConnectionError, http_io.TornMessage, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def wait_for_slot(self, reader):
        """Returns False once the caller has left: its place is given up."""
        self.waiting += 1
        try:
            while not reader.at_eof():
                try:
                    await asyncio.wait_for(self.slots.acquire(), LOOK_S)
                    return True
                except asyncio.TimeoutError:
                    pass
            return False
        finally:
            self.waiting -= 1

    def report(self):
        return json.dumps({"stage": "unified", "busy": False, "seq": 0,
                           "queued": self.waiting,
                           "active": self.running}).encode()

    async def answer(self, request, body, reader, writer):
        line, headers = request
        if line.split()[1] == "/healthz":
            writer.write(http_io.response(200, {"X-Instance-Id": self.name}))
            return True
        if line.split()[1] == "/v1/report" and self.options.reports:
            writer.write(http_io.response(200, {}, self.report()))
            return True
        request_id = headers.get("x-attempt-id", "")
        if headers.get("x-expect-instance") != self.name:
            writer.write(http_io.response(421, {"X-Instance-Id": self.name}))
            return True
        host = self.sender(request_id, writer)
        if host is not None:
            now = time.monotonic()
            self.limits.on_arrival(host, now)
            self.notices.on_arrival(host, self.ledger.sent_at[request_id],
                                    self.ledger.left, now)
            refusal = self.notices.refuse(host, request_id, self.ledger.left, now)
            if refusal:
                writer.write(http_io.response(
                    503, {**refusal, **self.notice_headers(request_id, writer)}))
                return True
        if self.brittle and not self.brittle.has_room():
            if self.brittle.on_refused():
                asyncio.create_task(self.crash_for(self.rng.uniform(1, 2)))
            writer.write(http_io.response(
                503, {"X-Not-Run": "1", **self.common_headers(request_id, writer)}))
            return True
        if self.strikes("refuse"):
            writer.write(http_io.response(503, {"X-Not-Run": "1"}))
            return True
        if self.strikes("refuse_twice"):
            refusal = http_io.response(
                503, {"X-Not-Run": "1", "X-Attempt-Id": request_id})
            writer.write(refusal + refusal)
            return True
        self.ledger.on_run(request_id, line, headers, body, self,
                           time.monotonic())
        watch = self.ledger.crashing.get(request_id)
        if watch:
            watch.on_run(request_id, time.monotonic())
            if watch.answers:
                if not await self.wait_for_slot(reader):
                    return False
                frame = {} if self.rng.random() < 0.5 else {
                    "Transfer-Encoding": "chunked"}
                writer.write(http_io.head("HTTP/1.1 200 OK", {
                    **self.common_headers(request_id, writer),
                    "X-Server-Seal": "stream", "Content-Type": "text/event-stream",
                    **frame}))
                await asyncio.sleep(self.rng.uniform(0.03, 0.2))
                self.slots.release()
            await self.crash_under(watch)
            return False
        if self.strikes("lose"):
            return False
        if self.strikes("hang"):
            await asyncio.sleep(20)
            return False
        common = self.common_headers(request_id, writer)
        if self.strikes("busy"):
            writer.write(http_io.response(503, common))
            return True
        for fault, beginning, repeated in ENDLESS:
            if self.strikes(fault):
                await self.send_endlessly(request_id, common, beginning, repeated,
                                          writer)
                return False
        if self.strikes("garble"):
            writer.write(b"\x00\x01 not an answer\r\n\r\n")
            return False
        if "/stream" in line or "/draft" in line:
            if self.brittle:
                return await self.serve_brittle(headers, common, reader, writer)
            return await self.serve_stream(headers, common, reader, writer)
        return await self.serve_call(request_id, common, writer)

    async def serve_call(self, request_id, common, writer):
        await asyncio.sleep(self.rng.uniform(
            *(self.options.answer_seconds or CALL_S)))
        answer = f"{self.service} ran {request_id}".encode()
        common["X-Server-Seal"] = checksum(request_id, answer)
        framed = self.rng.random() >= UNFRAMED_PART
        data = http_io.response(200, common, answer)
        if not framed:
            data = http_io.head("HTTP/1.1 200 OK", common) + answer
        head = data[:-len(answer)]
        if self.strikes("cut_head"):
            writer.write(cut_head(head, self.rng))
            return False
        silence = Silence(self)
        await silence.at("head")
        if silence.moment:
            writer.write(head)
            data = answer
            await writer.drain()
            await silence.at(silence.moment)
        if not framed:
            writer.write(data)
            return False
        if self.strikes("cut"):
            writer.write(data[:-3])
            return False
        if self.strikes("double"):
            data += http_io.response(200, {"X-Attempt-Id": "other"}, b"other")
        writer.write(data)
        await writer.drain()
        return True

    async def serve_stream(self, headers, common, reader, writer):
        if not await self.wait_for_slot(reader):
            return False
        began_at = time.monotonic()
        self.running += 1
        try:
            return await self.stream(headers, common, reader, writer)
        finally:
            self.running -= 1
            self.slots.release()
            if self.brittle:
                self.brittle.on_served(began_at)

    async def serve_brittle(self, headers, common, reader, writer):
        brittle = self.brittle
        brittle.open += 1
        try:
            return await self.serve_stream(headers, common, reader, writer)
        finally:
            brittle.open -= 1

    async def send_endlessly(self, request_id, common, beginning, repeated,
                             writer):
        """Sends until the caller closes, which it must do in time."""
        began_at = time.monotonic()
        lag = self.ledger.budget.lag
        try:
            writer.write(http_io.head("HTTP/1.1 200 OK", common)[:-2] + beginning)
            while time.monotonic() < began_at + ENDLESS_S + lag.since(began_at):
                writer.write(repeated * 200)
                await writer.drain()
                await asyncio.sleep(0.001)
        except ConnectionError:
            return
        host = self.ledger.budget.hosts.get(request_id)
        if host is not None and not host.disturbed_within(ENDLESS_S):
            self.ledger.violate("endless", f"{request_id} was read for "
                                f"{ENDLESS_S} s")

    async def stream(self, headers, common, reader, writer):
        request_id = headers["x-attempt-id"]
        first = int(headers.get("last-event-id", 0)) + 1
        self.ledger.versions.on_run(request_id, first - 1, self.version)
        common["X-Server-Seal"] = "stream"
        common["Content-Type"] = "text/event-stream"
        framed = self.rng.random() >= UNFRAMED_PART
        if framed:
            common["Transfer-Encoding"] = "chunked"
        frame = http_io.chunk if framed else bytes
        if first > 1 and self.strikes("fail_resumed"):
            writer.write(self.rng.choice(
                failures(self.common_headers(request_id, writer),
                         event(first, self.version))))
            return False
        head = http_io.head("HTTP/1.1 200 OK", common)
        if self.strikes("cut_head"):
            writer.write(cut_head(head, self.rng))
            return False
        silence = Silence(self)
        silent_before = self.rng.randint(first, EVENTS)
        gap_s = EVENT_GAP_S
        if self.options.answer_seconds:
            gap_s = [self.rng.uniform(*self.options.answer_seconds) / EVENTS] * 2
        await silence.at("head")
        writer.write(head)
        await silence.at("body")
        for number in range(first, EVENTS + 1):
            await asyncio.sleep(self.rng.uniform(*gap_s))
            if number == silent_before:
                await silence.at("events")
            if reader.at_eof():
                return False
            if self.strikes("break_off"):
                if not framed:
                    reset(writer)
                return False
            data = event(number, self.version)
            if self.strikes("cut_stream"):
                writer.write(frame(data[:len(data) // 2]))
                return False
            writer.write(frame(data))
            await writer.drain()
        if framed:
            writer.write(http_io.LAST_CHUNK)
        await writer.drain()
        return framed
