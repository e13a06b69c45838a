"""Streams that go on: which software version wrote which event, and how often
callers that take a stream up are served."""

import asyncio
import collections
import re
import time
import uuid

import http_io
import upstream

# Time after a disturbance in which neither takes nor new streams are counted.
CONTACT_S = 3.0

# Takes that are needed for a comparison, and the part of the share of new
# streams that begin which the share of takes that go on must reach.
LEAST_TAKES = 12
LEAST_SHARE = 0.9

# Deadline of a take, and the pause before a refused one is sent once more.
DEADLINE_S = 4.0
PAUSE_S = (0.1, 0.4)

EVENT = re.compile(rb"id: (\d+)\ndata: piece \d+ of (\S+)\n\n")


class VersionWatch:
    """An upstream that was given up may go on writing, so that only what callers
    get tells which version wrote an event."""

    def __init__(self):
        self.first = {}  # request id of a take: that of the stream's first request
        self.received = collections.defaultdict(dict)  # by stream: event: version
        self.resumed = []  # runs: (stream, event after which it goes on, version)
        self.begun = collections.Counter()  # whether a new stream began: streams
        self.taken = collections.Counter()  # whether a take went on: takes

    def stream_of(self, request_id):
        return self.first.get(request_id, request_id)

    def on_run(self, request_id, last_event_id, version):
        """A run goes on after this event; 0: it begins."""
        if last_event_id > 0:
            self.resumed.append((self.stream_of(request_id), last_event_id, version))

    def on_received(self, request_id, events):
        """Further events that the caller has got of the answer to this request."""
        received = self.received[self.stream_of(request_id)]
        for number, version in EVENT.findall(events):
            received.setdefault(int(number), version.decode())

    def version_of(self, stream):
        received = self.received[stream]
        return received[max(received)] if received else None

    def mixed(self):
        """Streams with events of two versions, or that went on at another than
        that of the event before."""
        streams = {stream for stream, received in self.received.items()
                   if len(set(received.values())) > 1}
        return streams | {stream for stream, event, version in self.resumed
                          if self.received[stream].get(event, version) != version}

    def check(self, ledger):
        ledger.requests["streams_resumed"] = len(self.resumed)
        ledger.requests["takes_on"] = self.taken[True]
        ledger.requests["takes_refused"] = self.taken[False]
        mixed = sorted(self.mixed())
        if mixed:
            ledger.violate("versions", f"{len(mixed)} streams hold events of two "
                           f"versions, such as {mixed[0]}")
        takes, streams = sum(self.taken.values()), sum(self.begun.values())
        if takes < LEAST_TAKES or not streams:
            return
        share, share_begun = self.taken[True] / takes, self.begun[True] / streams
        if share < LEAST_SHARE * share_begun:
            ledger.violate("takes", f"{share:.2f} of {takes} takes went on, "
                           f"{share_begun:.2f} of {streams} streams began")


class ReceivedBody:
    """The body of an answer while it arrives. Looks at each byte once, since an
    answer without end grows to tens of megabytes."""

    def __init__(self):
        self.data = bytearray()
        self.whole = 0  # bytes of complete events

    def append(self, piece):
        """Returns the events that are complete now."""
        self.data += piece
        searched = max(self.whole, len(self.data) - len(piece) - 1)
        end = self.data.rfind(b"\n\n", searched) + 2
        if end < 2:
            return b""
        events = bytes(self.data[self.whole:end])
        self.whole = end
        return events


def whole_events(data):
    """The complete events at the start of `data`."""
    return data[:data.rfind(b"\n\n") + 2] if b"\n\n" in data else b""


async def take_up(fleet, ledger, rng, request_id, received):
    """Takes a broken stream up at any host, once more after a refusal."""
    received = whole_events(received)
    count = received.count(b"\n\n")
    if count in (0, upstream.EVENTS):
        return
    await asyncio.sleep(rng.uniform(*fleet.options.take_pause))
    for _ in range(2):
        host = fleet.pick(rng)
        if host is None:
            return
        started_at = time.monotonic()
        rest = await send_take(fleet, ledger, rng, host, request_id, count)
        calm = fleet.options.count_all_takes or not host.disturbed_within(CONTACT_S)
        if rest is not None:
            if (upstream.without_versions(received + rest)
                    != upstream.WHOLE_STREAM):
                ledger.violate("order", f"{request_id} taken up: {rest[-60:]}")
            break
        await asyncio.sleep(rng.uniform(*PAUSE_S))
    serving = fleet.serving(ledger.versions.version_of(request_id), started_at)
    if calm and serving >= 2:
        ledger.versions.taken[rest is not None] += 1


async def send_take(fleet, ledger, rng, host, stream, last_event_id):
    """Returns the rest of the stream, or None if it did not go on whole."""
    kind, target, team, body = ledger.sent[stream]
    request_id = uuid.UUID(int=rng.getrandbits(128)).hex
    ledger.versions.first[request_id] = stream
    ledger.on_sent(request_id, kind, target, team, body, host)
    rest = ReceivedBody()
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(*host.callers), 1)
        try:
            writer.write(http_io.head(f"POST {target} HTTP/1.1", {
                "Host": "h.example", "X-Attempt-Id": request_id,
                "Authorization": f"Bearer {dict(fleet.keys)[team]}",
                "X-Deadline-Ms": int(DEADLINE_S * 1000), "Resumes": stream,
                "Last-Event-Id": last_event_id, "Content-Length": len(body),
                "X-Model": "m", "X-Token-Counts": "100,60",
                "X-Prompt-Prefix": f"b00:40,{stream[:8]}:60"}) + body)
            answer = await asyncio.wait_for(http_io.read_head(reader),
                                            DEADLINE_S + 2)
            if answer is None:
                return None
            status = int(answer[0].split()[1])
            ledger.on_status(request_id, status, "take")
            async for piece in http_io.read_body(reader, answer[1]):
                ledger.versions.on_received(request_id, rest.append(piece))
            return bytes(rest.data) if status == 200 else None
        finally:
            writer.close()
    except (OSError, asyncio.TimeoutError, http_io.TornMessage):
        return None
