"""Stand-ins for the platform, servers and clients, and gateways as processes.

Everything listens on loopback addresses of its own (127.A.B.*). The stand-ins follow the
pages: a log as the store, servers that run a request once and say who they are, and the
API of the platform that takes usage reports.
"""

import asyncio
import base64
import collections
import json
import os
import random
import shutil
import signal
import socket
import struct
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
# The command of the role in deploy/system.toml.
COMMAND = ["target/bin/teaselhill-gateway", "--metrics-port", "9464"]

BEAT_S = 1.2
LAPSE_S = 3 * BEAT_S


class Record:
    """What was sent, answered and run, with times from the start."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()

    def say(self, text):
        self.write(text)
        print(text, flush=True)


class Cannot(Exception):
    """The case could not run."""


class Network:
    """Loopback addresses and ports that nobody else uses."""

    def __init__(self):
        rng = random.SystemRandom()
        self.prefix = f"127.{rng.randint(60, 250)}.{rng.randint(1, 250)}"

    def address(self, last):
        return f"{self.prefix}.{last}"

    def ports(self, address, count):
        probes = []
        rng = random.SystemRandom()
        while len(probes) < count:
            probe = socket.socket()
            try:
                probe.bind((address, rng.randint(10000, 29999)))
                probes.append(probe)
            except OSError:
                probe.close()
        ports = [probe.getsockname()[1] for probe in probes]
        for probe in probes:
            probe.close()
        return ports


# ---- HTTP

async def read_head(reader):
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """The body of a message, or None if it is not whole."""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                size = int((await reader.readuntil(b"\r\n")).strip() or b"0", 16)
                piece = await reader.readexactly(size + 2)
                if size == 0:
                    return body
                body += piece[:-2]
        return await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None


def response(status, headers, body=b""):
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def reset(writer):
    writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def query_of(target):
    items = target.partition("?")[2].split("&")
    return dict(item.split("=", 1) for item in items if "=" in item)


# ---- the store

class Topic:
    def __init__(self, keyed):
        self.keyed = keyed
        self.records = []  # raw contents, by offset
        self.times = []
        self.changed = asyncio.Event()

    def put(self, content):
        self.records.append(content)
        self.times.append(time.monotonic())
        self.changed.set()
        self.changed = asyncio.Event()

    def go_back(self, copied_at):
        kept = sum(at <= copied_at for at in self.times)
        lost = self.records[kept:]
        self.records, self.times = self.records[:kept], self.times[:kept]
        return lost

    def newest(self):
        newest = {}
        for offset, content in enumerate(self.records):
            key = content[1:1 + content[0]].decode()
            newest[key] = (offset, content[1 + content[0]:])
        return {key: each for key, each in newest.items() if each[1]}


class Store:
    """The log of the platform. Answers carry the era."""

    def __init__(self, record):
        self.record = record
        self.topics = {}
        self.era = 1
        self.down = False
        self.writers = set()
        self.on_append = lambda topic, content: None

    def topic(self, name):
        if name not in self.topics:
            self.topics[name] = Topic(name.startswith("keyed."))
        return self.topics[name]

    async def start(self, address):
        self.server = await asyncio.start_server(self.serve, address, 0)
        return self.server.sockets[0].getsockname()[1]

    def put(self, topic, key, value):
        data = b"" if value is None else json.dumps(value).encode()
        self.topic(topic).put(bytes([len(key)]) + key.encode() + data)

    async def drill(self, away_s, copy_age_s, rewrite_s=0.3):
        """Is away for a moment and comes back from an older copy. What the operator and
        the servers wrote is written again."""
        copied_at = time.monotonic() - copy_age_s
        self.down = True
        for writer in list(self.writers):
            writer.close()
        self.record.say(f"drill: the store is away for {away_s} s")
        await asyncio.sleep(away_s)
        self.era += 1
        lost = {name: topic.go_back(copied_at) for name, topic in self.topics.items()}
        self.down = False
        self.record.say(f"drill: the store is back from a copy {copy_age_s} s older than "
                        "its going, era %d, lost: %s" % (self.era, {
                            name: len(each) for name, each in lost.items() if each}))
        await asyncio.sleep(rewrite_s)
        for name in ("keyed.op", "keyed.servers"):
            for content in lost.get(name, []):
                self.topic(name).put(content)

    def answer(self, status, body=b""):
        return response(status, {"Store-Era": self.era}, body)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                body = await read_body(reader, head[1])
                if body is None:
                    return
                method, target = head[0].split()[:2]
                if self.down:
                    writer.write(self.answer(503))
                else:
                    writer.write(await self.handle(method, target, body))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, method, target, body):
        path, query = target.partition("?")[0], query_of(target)
        if path == "/v1/log-append" and method == "POST":
            return self.append(query, body)
        if path == "/v1/log-newest":
            return self.list_newest(query)
        if path == "/v1/log-read":
            return await self.read(query)
        return self.answer(404)

    def append(self, query, body):
        if query["topic"] in ("keyed.op", "keyed.servers"):
            return self.answer(403)
        topic = self.topic(query["topic"])
        end = len(topic.records)
        if "at" in query and int(query["at"]) != end:
            return self.answer(412, json.dumps({"end": end}).encode())
        while body:
            length, = struct.unpack(">I", body[:4])
            content, body = body[4:4 + length], body[4 + length:]
            topic.put(content)
            self.on_append(query["topic"], content)
        return self.answer(200, json.dumps(
            {"offset": end, "end": len(topic.records)}).encode())

    def list_newest(self, query):
        topic = self.topic(query["topic"])
        items = [{"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                 for key, (offset, value) in sorted(topic.newest().items())
                 if key > query.get("after", "")]
        return self.answer(200, json.dumps(
            {"items": items, "hasMore": False, "end": len(topic.records)}).encode())

    async def read(self, query):
        topic, start = self.topic(query["topic"]), int(query["from"])
        if start > len(topic.records):
            return self.answer(410, b'{"first":0}')
        wait_s = int(query.get("waitMs", 0)) / 1000
        if wait_s and start >= len(topic.records):
            try:
                await asyncio.wait_for(topic.changed.wait(), wait_s)
            except asyncio.TimeoutError:
                pass
        if start > len(topic.records):
            return self.answer(410, b'{"first":0}')
        body = struct.pack(">QQ", len(topic.records), 0)
        for content in topic.records[start:start + 500]:
            body += struct.pack(">I", len(content)) + content
        return self.answer(200, body)


# ---- the platform's API

class Api:
    """Takes usage reports and orders of servers."""

    def __init__(self, record):
        self.record = record
        self.reports = []  # (time, holder, token, window, counts)

    async def start(self, address):
        self.server = await asyncio.start_server(self.serve, address, 0)
        return self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                body = await read_body(reader, head[1])
                if body is None:
                    return
                self.take(head, json.loads(body or b"{}"))
                writer.write(response(200, {}))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    def take(self, head, body):
        holder = head[1].get("x-duty-holder")
        token = int(head[1].get("x-fence-token", 0))
        self.record.write(f"platform {head[0].split()[1]} holder={holder} token={token} "
                          f"{json.dumps(body, sort_keys=True)} -> 200")
        if head[0].split()[1] == "/usage":
            self.reports.append((self.record.now(), holder, token, body["window"],
                                 dict(body["counts"])))


# ---- servers

class Server:
    """Runs each request that names it, once, and answers after a short while."""

    def __init__(self, record, store, number, service, zone="z1"):
        self.record, self.store = record, store
        self.id, self.service, self.zone = f"i-{number:04x}", service, zone
        self.runs = collections.Counter()
        self.run_s = (0.01, 0.04)
        self.rng = random.Random(number)
        self.stopped = False

    async def start(self, address):
        self.server = await asyncio.start_server(self.serve, address, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        self.born = int(time.time() * 1000)
        asyncio.create_task(self.beat())

    def entry(self, state="ready"):
        return {"service": self.service, "addr": self.address, "zone": self.zone,
                "version": "1", "slots": 8, "state": state, "coldLeftMs": 0, "seq": 0,
                "born": self.born}

    async def beat(self):
        while not self.stopped:
            if not self.store.down:
                self.store.put("keyed.servers", self.id, self.entry())
            await asyncio.sleep(BEAT_S)

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                body = await read_body(reader, head[1])
                if body is None:
                    return
                if not await self.answer(head, body, reader, writer):
                    return
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    def report(self):
        return json.dumps({"stage": "unified", "models": [], "busy": False, "seq": 0,
                           "queued": 0, "active": 0, "kvUsed": 0, "kvTotal": 90000,
                           "handles": 0, "born": self.born}).encode()

    async def answer(self, head, body, reader, writer):
        line, headers = head
        target = line.split()[1]
        if target == "/healthz":
            writer.write(response(200, {"X-Instance-Id": self.id}))
            return True
        if target == "/v1/report":
            writer.write(response(200, {"Content-Type": "application/json"},
                                  self.report()))
            return True
        attempt = headers.get("x-attempt-id", "")
        if headers.get("x-expect-instance", self.id) != self.id:
            writer.write(response(421, {"X-Not-Run": "1", "X-Attempt-Id": attempt}))
            return True
        self.runs[attempt] += 1
        self.record.write(f"server {self.id} runs {attempt} {line}")
        await asyncio.sleep(self.rng.uniform(*self.run_s))
        writer.write(response(200, {"X-Attempt-Id": attempt,
                                    "X-Server-Seal": f"seal-{self.id}-{attempt}"},
                              f"{self.service} ran {attempt}".encode()))
        return True


# ---- gateways

class Host:
    def __init__(self, fleet, number, zone="z1"):
        self.fleet, self.number, self.zone = fleet, number, zone
        self.name = f"front-{zone}-{number}"
        self.address = fleet.network.address(number)
        front, ready, peer, relay = fleet.network.ports(self.address, 4)
        self.front, self.ready = (self.address, front), (self.address, ready)
        self.port_range = [peer, relay]
        self.store_address = fleet.store_address
        self.more_settings = {}
        self.process = None
        self.starts = 0

    def settings(self):
        return {
            "node": self.name, "role": "gateway", "class": "front", "serves": ["front"],
            "ip": self.address, "zone": self.zone, "region": "r1",
            "zones": {self.zone: "r1"},
            "listen": {"front": "%s:%d" % self.front, "ready": "%s:%d" % self.ready},
            "portRange": self.port_range, "seeds": [], "bootstrap": self.starts == 0,
            "lossCounts": False, "discovery": "platform", "entry": "vip",
            "beatMs": int(BEAT_S * 1000),
            "limits": {"cpuShare": 0.5, "cores": 1, "ramMb": 260, "maxFds": 4100,
                       "linkMbps": 1000.0, "diskMb": 0},
            "tolerate": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": self.fleet.bounds,
            "provider": {"addr": self.store_address, "form": "log", "writesPerS": 400,
                         "readsPerS": 2000, "parts": 12, "appendMs": 2.0,
                         "partMbS": 20.0, "readMbS": 80.0, "recordBytes": 262144,
                         "callBytes": 2097152, "keep_s": 300, "partMb": 200,
                         "minTtlMs": 1000},
            **self.fleet.more_settings, **self.more_settings}

    async def start(self):
        path = os.path.join(self.fleet.folder, self.name + ".json")
        with open(path, "w") as file:
            json.dump(self.settings(), file)
        self.starts += 1
        log = open(os.path.join(self.fleet.folder, self.name + ".out"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            *COMMAND, cwd=ROOT, stdout=log, stderr=log,
            env={"TEASELHILL_BOOT": path, "PATH": "/usr/bin:/bin"})
        log.close()
        self.fleet.record.write(f"{self.name} starts, pid {self.process.pid}")

    def send(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(*self.ready), 0.5)
            writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: h\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 0.5)
            writer.close()
            return head is not None and " 200 " in head[0]
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, limit_s=15):
        end = time.monotonic() + limit_s
        while not await self.is_ready():
            if time.monotonic() > end:
                raise Cannot(f"{self.name} did not become ready")
            await asyncio.sleep(0.1)

    async def restart_planned(self):
        """SIGTERM, SIGKILL after the grace if need be, and a new process."""
        self.fleet.record.say(f"SIGTERM to {self.name}")
        self.send(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), self.fleet.bounds["graceS"])
        except asyncio.TimeoutError:
            self.send(signal.SIGKILL)
            await self.process.wait()
        self.fleet.record.say(f"{self.name} ended")
        await asyncio.sleep(0.3)
        await self.start()


BOUNDS = {
    "seedLagS": 3, "reuseS": 2, "contactMs": 4000, "ackMs": 6000, "catchupS": 6,
    "drainMs": 3000, "graceS": 8, "lossSlackMs": 200, "configMs": 3000,
    "rollbackSlackMs": 250, "outerMs": 6000, "strictRevoke": False, "revokeMs": 5000,
    "retryRatio": 0.2, "retryWindowS": 10, "retryExtra": 54, "recoverS": 15,
    "passMs": 200, "retryAfterS": 9.7}

KEYS = [("crew", "key-of-crew"), ("office", "key-of-office")]


class Fleet:
    """A small deployment: store, servers and gateways."""

    def __init__(self, record):
        self.record = record
        self.network = Network()
        self.folder = tempfile.mkdtemp(prefix="teaselhill-review-")
        self.store = Store(record)
        self.bounds, self.more_settings = dict(BOUNDS), {}
        self.hosts, self.servers = [], []
        self.version = 7

    def routes(self):
        common = {"host": "h.example", "timeoutMs": 1200, "goalMs": 150, "priority": 2,
                  "allowAnon": False}
        return [{**common, "name": "lookup", "pathPrefix": "/lookup/", "kind": "safe",
                 "service": "desk", "attempts": 2},
                {**common, "name": "charge", "pathPrefix": "/charge/",
                 "kind": "mutating", "service": "desk", "attempts": 1}]

    def services(self):
        return [{"name": "desk", "healthPath": "/healthz"}]

    def put_config(self):
        self.version += 3
        self.store.put("keyed.op", "config", {
            "version": self.version, "routes": self.routes(),
            "services": self.services(),
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1048576,
                       "headerTimeoutMs": 5000, "idleTimeoutMs": 10000},
            "tenants": [{"name": name, "apiKeys": [key]} for name, key in KEYS]})

    async def start(self, hosts, servers=3):
        binary = os.path.join(ROOT, COMMAND[0])
        if not os.access(binary, os.X_OK):
            raise Cannot(f"{binary} is not built")
        address = self.network.address(200)
        self.store_address = "%s:%d" % (address, await self.store.start(address))
        self.put_config()
        for number in range(servers):
            server = Server(self.record, self.store, number, "desk")
            await server.start(self.network.address(210 + number))
            self.servers.append(server)
        for number in range(hosts):
            self.hosts.append(Host(self, number + 1))
        for host in self.hosts:
            await self.prepare(host)
            await host.start()
        for host in self.hosts:
            await host.wait_ready()
        self.record.say(f"{hosts} gateways are ready")

    async def prepare(self, host):
        """For cases that put something between a gateway and what it uses."""

    async def stop(self):
        for host in self.hosts:
            host.send(signal.SIGCONT)
            host.send(signal.SIGKILL)
        for host in self.hosts:
            if host.process:
                await host.process.wait()


async def call(host, method, path, headers, body=b"", timeout_s=3):
    """One request on a new connection: (status or None, headers, body or None)."""
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(*host.front), 1)
    except (OSError, asyncio.TimeoutError):
        return None, {}, None
    try:
        lines = [f"{method} {path} HTTP/1.1", "Host: h.example"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines += ["Connection: close"]
        if body or method == "POST":
            lines += [f"Content-Length: {len(body)}"]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        head = await asyncio.wait_for(read_head(reader), timeout_s)
        if head is None:
            return None, {}, None
        answer = await asyncio.wait_for(read_body(reader, head[1]), timeout_s)
        return int(head[0].split()[1]), head[1], answer
    except (OSError, asyncio.TimeoutError, ValueError):
        return None, {}, None
    finally:
        writer.close()


async def run_case(folder, case):
    """Runs `case(fleet, record)`, which returns what broke the rule, and gives the exit
    code: 1 broken, 0 held, 2 could not run."""
    record = Record(folder)
    fleet = Fleet(record)
    try:
        broken = await case(fleet, record)
    except Cannot as reason:
        record.say(f"the case could not run: {reason}")
        return 2
    finally:
        await fleet.stop()
        shutil.rmtree(fleet.folder, ignore_errors=True)
    for line in broken:
        record.say("BROKEN: " + line)
    record.say("the rule was broken" if broken else "the rule held")
    return 1 if broken else 0


def main(folder, case):
    loop = asyncio.new_event_loop()
    loop.set_exception_handler(lambda *_: None)
    try:
        code = loop.run_until_complete(asyncio.wait_for(run_case(folder, case), 110))
    except Exception as fault:  # a fault of the case, not of what it tests
        print(f"the case could not run: {fault!r}", flush=True)
        code = 2
    os._exit(code)
