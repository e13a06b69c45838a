"""Upstreams that send bytes without end, which are no answer, and callers that send
large bodies or read nothing."""

import asyncio
import time
import uuid

import http_io
from caller import Caller
from upstream import Upstream

# Heads name the request, or else hosts give them up at once.
REQUEST_ID = b"REQUEST-ID"
OK = (b"HTTP/1.1 200 OK\r\nX-Server-Seal: none\r\nX-Attempt-Id: " + REQUEST_ID
      + b"\r\n")
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n"
EVENTS = CHUNKED + b"Content-Type: text/event-stream\r\n\r\n"
UNFRAMED = OK + b"Connection: close\r\n\r\n"
TEXT = b"more of the same" * 1024

# Form: beginning, and what is repeated.
FORMS = {
    "lines": (b"", b"no answer at all\r\n"),
    "one_line": (b"", TEXT),
    "informational": (b"", b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"),
    "status_line": (b"HTTP/1.1 200 ", TEXT),
    "blank_lines": (b"", b"\r\n"),
    "chunks": (CHUNKED + b"\r\n", http_io.chunk(TEXT)),
    "one_chunk": (CHUNKED + b"\r\nfffffffffff\r\n", TEXT),
    "unframed": (UNFRAMED, TEXT),
    "huge_length": (OK + f"Content-Length: {1 << 60}\r\n\r\n".encode(), TEXT),
    "chunk_extension": (CHUNKED + b"\r\n5;name=", TEXT),
    "trailers": (CHUNKED + b"\r\n0\r\n", b"X-More: of the same\r\n"),
    "one_event": (EVENTS + http_io.chunk(b"id: 1\ndata: "), http_io.chunk(TEXT)),
    "events": (EVENTS, http_io.chunk(b"id: 1\ndata: piece\n\n")),
    "failure": (CHUNKED.replace(b"200 OK", b"500 Failed") + b"\r\n",
                http_io.chunk(TEXT)),
    "refusal": (CHUNKED.replace(b"200 OK", b"503 Refused")
                + b"X-Not-Run: 1\r\n\r\n", http_io.chunk(TEXT)),
}

WRITE_BYTES = 128 << 10

# Time between writes of answers to requests, which callers have to read here. Probes
# are too short for pauses.
WRITE_PERIOD_S = 0.04

# A slow answer sends as much at once, and then little in each period.
SLOW_BEGINNING_BYTES = (1 << 20) - (8 << 10)
SLOW_PERIOD_S = 0.3
SLOW_END = {"one_event": http_io.chunk(b"x"), "unframed": b"x"}

# A caller's large body, and the time until its last bytes are sent.
BODY_BYTES = 900_000
BODY_REST_BYTES = 100
BODY_REST_S = (2.0, 3.5)
ANSWER_S = 5.0

PROBES = ("/healthz", "/v1/report")


class PouringUpstream(Upstream):
    """Sends one of the forms while `forms` names some, to probes or to requests."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.forms = ()
        self.pours_to_probes = False
        self.slow = False

    async def answer(self, request, body, reader, writer):
        line, headers = request
        is_probe = line.split()[1] in PROBES
        request_id = headers.get("x-attempt-id", "")
        if not is_probe and (self.forms or self.faults):
            self.ledger.at_faulty.add(request_id)
        if not self.forms or is_probe != self.pours_to_probes:
            return await super().answer(request, body, reader, writer)
        form = self.rng.choice(self.forms)
        if not is_probe and form != "refusal":
            self.ledger.on_run(request_id, line, headers, body, self,
                               time.monotonic())
        await self.pour(form, request_id, writer)
        return False

    async def pour(self, form, request_id, writer):
        beginning, repeated = FORMS[form]
        writer.write(beginning.replace(REQUEST_ID, request_id.encode()))
        if self.slow:
            writer.write(repeated * (SLOW_BEGINNING_BYTES // len(repeated)))
        while self.forms and not writer.is_closing():
            if self.slow:
                writer.write(SLOW_END[form])
                await asyncio.sleep(SLOW_PERIOD_S)
                continue
            writer.write(repeated * (WRITE_BYTES // len(repeated)))
            # A host that reads nothing must not keep this one beyond the fault.
            try:
                await asyncio.wait_for(writer.drain(), SLOW_PERIOD_S)
            except asyncio.TimeoutError:
                continue
            await asyncio.sleep(0 if self.pours_to_probes else WRITE_PERIOD_S)
        writer.transport.abort()


class PacedCaller(Caller):
    """One of many callers, with the kinds of requests that it sends and the time
    between them."""

    def __init__(self, fleet, ledger, rng, kinds, pause_s):
        super().__init__(fleet, ledger, rng)
        self.kinds, self.pause_s = kinds, pause_s

    def pick_kind(self):
        return self.rng.choice(self.kinds)

    def check_whole(self, request_id, kind, headers, body):
        """What a faulty upstream sent may be passed on."""
        if request_id not in self.ledger.at_faulty:
            super().check_whole(request_id, kind, headers, body)

    def check_beginning(self, request_id, body):
        if request_id not in self.ledger.at_faulty:
            super().check_beginning(request_id, body)


class FaultyCaller(PacedCaller):
    """Sends one request after the other, each on a connection of its own."""

    async def run(self, end):
        while time.monotonic() < end:
            host = self.fleet.pick(self.rng)
            try:
                reader, writer = await asyncio.open_connection(*host.callers)
            except (AttributeError, OSError):
                await asyncio.sleep(0.1)
                continue
            try:
                await self.ask(host, reader, writer, end)
            except (OSError, EOFError, asyncio.TimeoutError, http_io.TornMessage):
                await asyncio.sleep(0.1)
            finally:
                writer.transport.abort()

    async def send(self, host, writer, at_once=False):
        sent = await super().send(host, writer, at_once)
        self.ledger.of_faulty_callers.add(sent[1])
        return sent


class IdleReader(FaultyCaller):
    """Sends a request and reads nothing of the answer."""

    async def ask(self, host, reader, writer, end):
        writer.transport.pause_reading()
        await self.send(host, writer)
        await asyncio.sleep(max(0, end - time.monotonic()))


class LargeBodyCaller(FaultyCaller):
    """Sends a large body whose last bytes are late, and reads the answer."""

    async def ask(self, host, reader, writer, end):
        request_id = uuid.UUID(int=self.rng.getrandbits(128)).hex
        body = bytes(BODY_BYTES)
        team, key = self.fleet.keys[0]
        self.ledger.of_faulty_callers.add(request_id)
        self.ledger.on_sent(request_id, "once", "/once/x", team, body, host)
        writer.write(http_io.head("POST /once/x HTTP/1.1", {
            "Host": "h.example", "X-Attempt-Id": request_id,
            "Authorization": f"Bearer {key}", "X-Deadline-Ms": 4000,
            "Content-Length": len(body)}) + body[:-BODY_REST_BYTES])
        await asyncio.wait_for(writer.drain(), ANSWER_S)
        await asyncio.sleep(self.rng.uniform(*BODY_REST_S))
        writer.write(body[-BODY_REST_BYTES:])
        answer = await asyncio.wait_for(http_io.read_head(reader), ANSWER_S)
        if answer:
            self.ledger.on_status(request_id, int(answer[0].split()[1]), "large")
