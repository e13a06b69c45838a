"""A server spoils an event of a resumable stream. The events that came whole in
the same piece of its answer must reach the consumer."""

import asyncio
import os
import sys
import time
import uuid

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
import standins  # noqa: E402
from standins import BROKEN, HELD, TROUBLE  # noqa: E402

EVENTS = 12
STREAMS = 300
SERVERS = 6
# Part of the answers that a faulty server spoils, and of the servers that are
# faulty: the largest dose of `garble` in the site file.
SPOILT_ANSWERS = 0.03
FAULTY_SERVERS = 3
# A server that has made two events hands them over together.
EVENTS_PER_WRITE = 2


def event(number):
    return f"id: {number}\ndata: piece {number}\n\n".encode()


WHOLE = b"".join(event(number) for number in range(1, EVENTS + 1))


def spoil(data):
    """The bytes of one event, with the first ones inverted after its `id: `."""
    return data[:4] + bytes(byte ^ 0x5a for byte in data[4:5]) + data[5:]


class Engine(standins.Server):
    faulty = False
    runs = 0

    async def run(self, line, headers, body, reader, writer):
        request_id = headers["x-attempt-id"]
        first = int(headers.get("last-event-id", 0)) + 1
        Engine.runs += 1
        # Spread evenly, so that each play holds the same share.
        self.own_runs = getattr(self, "own_runs", 0) + 1
        spoils = (TROUBLE and self.faulty and first == 1
                  and self.own_runs % round(1 / SPOILT_ANSWERS) == 5)
        self.record.write("run", server=self.id, id=request_id, first=first,
                          spoils=spoils)
        writer.write(standins.head("HTTP/1.1 200 OK", {
            "X-Attempt-Id": request_id, "X-Server-Seal": "seal",
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked"}))
        number = first
        while number <= EVENTS:
            await asyncio.sleep(0.01)
            batch = [event(each) for each in
                     range(number, min(number + EVENTS_PER_WRITE, EVENTS + 1))]
            if spoils and number >= 5:
                batch[-1] = spoil(batch[-1])
                writer.write(standins.chunk(b"".join(batch)))
                await writer.drain()
                return False
            writer.write(standins.chunk(b"".join(batch)))
            await writer.drain()
            number += len(batch)
        writer.write(b"0\r\n\r\n")
        return True


def manifest():
    return {
        "version": 7,
        "routes": [{"name": "draft", "host": "h.example",
                    "pathPrefix": "/draft/", "kind": "streaming",
                    "timeoutMs": 5000, "goalMs": 800, "gapGoalMs": 400,
                    "priority": 1, "service": "llm", "attempts": 2,
                    "allowAnon": False, "sticky": True, "resumable": True}],
        "services": [{"name": "llm", "healthPath": "/healthz", "maxConns": 360,
                      "proto": "h1", "tls": False,
                      "engine": {"slots": 64, "kvCapTokens": 296281}}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": "crew", "apiKeys": ["key-crew"], "priority": 1}]}


async def ask(gateway, record):
    """Returns whether the answer looked complete, and what came."""
    request_id = uuid.uuid4().hex
    reader, writer = await asyncio.open_connection(*gateway.front)
    body = b"prompt" * 20
    record.write("sent", id=request_id)
    writer.write(standins.head("POST /draft/2f HTTP/1.1", {
        "Host": "h.example", "X-Attempt-Id": request_id, "X-Model": "m",
        "X-Token-Counts": "1460,80",
        "X-Prompt-Prefix": f"5c1e07a2:800,{request_id[:8]}:250",
        "X-Deadline-Ms": 5000, "Authorization": "Bearer key-crew",
        "Content-Length": len(body)}) + body)
    status, whole, data = None, False, b""
    answer = await asyncio.wait_for(standins.read_head(reader), 8)
    if answer is not None:
        status = int(answer[0].split()[1])
        data, whole = await asyncio.wait_for(
            standins.read_body(reader, answer[1]), 8)
    writer.close()
    complete = status == 200 and whole
    record.write("answered", id=request_id, status=status, complete=complete,
                 right=data == WHOLE, body=data.decode("latin-1"))
    return complete, data


async def case(record, network, folder, gateways):
    store = standins.Store(record)
    await store.start(network)
    store.put("keyed.op", "config", manifest())
    for number in range(SERVERS):
        server = Engine("llm", number, store, record)
        server.faulty = number < FAULTY_SERVERS
        await server.start(network)
    for number in range(2):
        gateway = standins.Gateway(number, store, network, folder, record)
        gateways.append(gateway)
        await gateway.start()
    for gateway in gateways:
        await gateway.wait_until_ready()
    wrong = 0
    answers = 0
    for begin in range(0, STREAMS, 10):
        results = await asyncio.gather(
            *(ask(gateways[number % 2], record) for number in range(begin,
                                                                    begin + 10)))
        for complete, data in results:
            answers += complete
            # ORDER: a piece is missing, or comes twice, in a stream that ends as
            # complete.
            wrong += complete and data != WHOLE
    record.write("summary", streams=STREAMS, complete=answers, wrong=wrong)
    if answers < STREAMS * 0.9:
        raise standins.CannotRun(f"only {answers} streams were answered")
    return BROKEN if wrong else HELD


standins.play(HERE, case)
