"""Answers that pause, stop in the middle or are followed by what is not theirs."""

import asyncio

import http_io

# Time for which a sound upstream falls silent, from and to.
SILENCE_S = (0.8, 1.6)

# Faults that leave an upstream sound: it goes on by itself.
SOUND = ("fall_silent",)

FAILURE = b"the upstream failed"


def failures(common, event):
    """Answers that continue no stream, in each way an upstream may give one."""
    sealed = {**common, "X-Server-Seal": "failure"}
    events = {**sealed, "Content-Type": "text/event-stream",
              "Transfer-Encoding": "chunked"}
    chunks = {**sealed, "Transfer-Encoding": "chunked"}
    head = http_io.head
    return [
        http_io.response(500, sealed, FAILURE),
        head("HTTP/1.1 500 Failed", chunks) + http_io.chunk(FAILURE)
        + http_io.LAST_CHUNK,
        head("HTTP/1.1 500 Failed", events) + http_io.chunk(event)
        + http_io.LAST_CHUNK,
        head("HTTP/1.1 500 Failed", sealed) + FAILURE,
        http_io.response(502, sealed, FAILURE),
        http_io.response(503, sealed, FAILURE),
        http_io.response(404, sealed, FAILURE),
        http_io.response(200, sealed, FAILURE),
    ]


def cut_head(head, rng):
    """The head up to a random byte, or up to just before its empty line."""
    if rng.random() < 0.2:
        return head[:-2]
    return head[:rng.randrange(1, len(head) - 1)]


class Silence:
    """When one answer pauses, if it does."""

    MOMENTS = ("head", "body", "events")

    def __init__(self, upstream):
        self.rng = upstream.rng
        self.moment = None
        if upstream.strikes("fall_silent"):
            self.moment = self.rng.choice(self.MOMENTS)

    async def at(self, moment):
        """Pauses if the answer does so at this moment; it pauses once."""
        if self.moment == moment:
            self.moment = None
            await asyncio.sleep(self.rng.uniform(*SILENCE_S))
