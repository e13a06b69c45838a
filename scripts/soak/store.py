"""Stand-in for the platform's store: topics that keep the newest of each key."""

import asyncio
import base64
import collections
import functools
import json
import struct
import time

import http_io


# How far answers lag behind in the mode `stale`.
STALE_RECORDS = 2


def parse_query(target):
    return dict(item.split("=", 1)
                for item in target.partition("?")[2].split("&"))


class Topic:
    def __init__(self):
        self.records = []  # (key, value or None) by offset
        self.times = []  # when they were written
        self.first = 0
        self.changed = asyncio.Event()

    def put(self, key, value):
        self.records.append((key, value))
        self.times.append(time.monotonic())
        self.changed.set()
        self.changed = asyncio.Event()

    def restore(self, copied_at):
        """Goes back to a copy; returns the records that are lost."""
        kept = sum(written_at <= copied_at for written_at in self.times)
        lost = self.records[kept:]
        self.records, self.times = self.records[:kept], self.times[:kept]
        self.first = min(self.first, kept)
        return lost

    def newest(self, end):
        newest = {}
        for offset, (key, value) in enumerate(self.records[:end]):
            newest[key] = (offset, value)
        return {k: v for k, v in newest.items() if v[1] is not None}

    def compact(self):
        self.first = len(self.records)


class Store:
    def __init__(self, rng):
        self.rng = rng
        self.topics = collections.defaultdict(Topic)
        self.mode = "good"  # or down, silent, slow, stale
        self.era = 1
        self.servers = []

    async def start(self, address, view=(b"", b"")):
        """Listens for one host; returns the port. `view`: text in records, and by
        what it is replaced for this host, such as an address of its own."""
        server = await asyncio.start_server(
            functools.partial(self.serve, view), address, 0)
        self.servers.append(server)
        return server.sockets[0].getsockname()[1]

    def put(self, topic, key, value):
        data = None if value is None else json.dumps(value).encode()
        self.topics[topic].put(key, data)
        return time.monotonic()

    def put_bytes(self, topic, key, data):
        self.topics[topic].put(key, data)

    async def disturb(self, mode, seconds):
        self.mode = mode
        await asyncio.sleep(seconds)
        self.mode = "good"

    def restore(self, seconds):
        """Comes back from a copy that is so old. Returns what was lost of the
        topics that are not the hosts' own."""
        self.era += 1
        copied_at = time.monotonic() - seconds
        lost = {name: topic.restore(copied_at)
                for name, topic in self.topics.items()}
        return {name: lost[name] for name in ("keyed.op", "keyed.servers")
                if name in lost}

    def response(self, status, body=b""):
        return http_io.response(status, {"Store-Era": self.era}, body)

    async def serve(self, view, reader, writer):
        try:
            while True:
                request = await http_io.read_head(reader)
                if request is None:
                    return
                if self.mode == "silent":
                    await asyncio.sleep(30)
                if self.mode == "slow":
                    await asyncio.sleep(0.3)
                body = b""
                if request[0].startswith("POST"):
                    body = await http_io.whole_body(reader, request[1])
                if self.mode == "down":
                    writer.write(self.response(503))
                elif request[0].startswith("POST"):
                    writer.write(self.append(request[0].split()[1], body))
                else:
                    writer.write(await self.answer(request[0].split()[1], view))
                await writer.drain()
        except (ConnectionError, http_io.TornMessage):
            pass
        finally:
            writer.close()

    def append(self, target, body):
        query = parse_query(target)
        if query["topic"] in ("keyed.op", "keyed.servers"):
            return self.response(403)
        topic = self.topics[query["topic"]]
        while body:
            length, = struct.unpack(">I", body[:4])
            record, body = body[4:4 + length], body[4 + length:]
            key = record[1:1 + record[0]].decode()
            topic.put(key, record[1 + record[0]:] or None)
        return self.response(200, json.dumps(
            {"end": len(topic.records)}).encode())

    async def answer(self, target, view):
        path = target.partition("?")[0]
        query = parse_query(target)
        topic = self.topics[query["topic"]]
        end = len(topic.records)
        if self.mode == "stale":
            end = max(1, end - STALE_RECORDS)
        if path == "/v1/log-newest":
            items = [{"key": key, "value": base64.b64encode(value.replace(*view)).decode(),
                      "offset": offset}
                     for key, (offset, value) in topic.newest(end).items()]
            body = {"items": items, "hasMore": False, "end": end}
            return self.response(200, json.dumps(body).encode())
        start = int(query["from"])
        if start < topic.first or start > len(topic.records):
            return self.response(410)
        wait = int(query.get("waitMs", 0)) / 1000
        if wait and start >= end and self.mode == "good":
            try:
                await asyncio.wait_for(topic.changed.wait(), wait)
            except asyncio.TimeoutError:
                pass
            end = len(topic.records)
        if start > end:
            return self.response(410)
        body = struct.pack(">QQ", end, topic.first)
        for key, value in topic.records[start:end]:
            content = (bytes([len(key)]) + key.encode()
                       + (value or b"").replace(*view))
            body += struct.pack(">I", len(content)) + content
        return self.response(200, body)
