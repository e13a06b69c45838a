"""Stand-ins of the platform for the cases: a store, servers, and the gateways as
processes. Everything listens on loopback addresses drawn for one run."""

import asyncio
import base64
import collections
import json
import os
import random
import re
import signal
import socket
import struct
import tempfile
import time

REPO = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD, BROKEN, NOT_RUN = 0, 1, 2

# The bounds of the site brazos-sheets, as its pages name them.
BOUNDS = {"seedLagS": 3, "reuseS": 2, "contactMs": 3000, "ackMs": 4000,
          "catchupS": 4, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200,
          "configMs": 2000, "rollbackSlackMs": 250, "outerMs": 5000,
          "strictRevoke": False, "revokeMs": 5000, "retryRatio": 0.2,
          "retryWindowS": 10, "retryExtra": 54, "recoverS": 12, "passMs": 120,
          "retryAfterS": 10}
BEAT_S = 1.2


class Record:
    """The file record.txt: one JSON object a line, with the time since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.began = time.monotonic()

    def write(self, event, **fields):
        at = round(time.monotonic() - self.began, 3)
        self.file.write(json.dumps({"at": at, "event": event, **fields}) + "\n")
        self.file.flush()


class Network:
    """Addresses 127.X.Y.1 to 127.X.Y.250 of one run."""

    def __init__(self):
        self.prefix = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self.last = 0

    def address(self):
        self.last += 1
        return f"{self.prefix}.{self.last}"


def free_port(address):
    """A port below those that the system gives to connections."""
    while True:
        port = random.randint(10000, 30000)
        with socket.socket() as probe:
            try:
                probe.bind((address, port))
                return port
            except OSError:
                continue


def reset(writer):
    """Closes with RST."""
    writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def read_head(reader):
    """(first line, headers with lower-case names), or None at the end."""
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


async def read_body(reader, headers, on_data=lambda data: None):
    """Returns (body, whether it is whole)."""
    body = b""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                piece = await reader.readexactly(size + 2)
                if size == 0:
                    return body, True
                body += piece[:-2]
                on_data(piece[:-2])
        if "content-length" in headers:
            left = int(headers["content-length"])
            while left:
                piece = await reader.read(left)
                if not piece:
                    return body, False
                left -= len(piece)
                body += piece
                on_data(piece)
            return body, True
        return body, True
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return body, False


def head(first_line, headers):
    lines = [first_line] + [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def response(status, headers, body=b""):
    return head(f"HTTP/1.1 {status} Status",
                {**headers, "Content-Length": len(body)}) + body


def chunk(data):
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


class Store:
    """The platform's store: topics of one partition; those named keyed.* keep the
    newest record of each key."""

    def __init__(self, record):
        self.record = record
        self.topics = collections.defaultdict(list)  # (key, value or None)
        self.changed = asyncio.Event()
        self.down = False
        self.writers = set()

    async def start(self, network):
        address = network.address()
        self.listener = await asyncio.start_server(self.serve, address, 0)
        self.address = "%s:%d" % self.listener.sockets[0].getsockname()[:2]

    def put(self, topic, key, value):
        """Returns when the store acknowledges the record."""
        data = None if value is None else json.dumps(value).encode()
        return self.put_bytes(topic, key.encode(), data)

    def put_bytes(self, topic, key, data):
        self.topics[topic].append((key, data))
        self.changed.set()
        self.changed = asyncio.Event()
        return time.monotonic()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_head(reader)
                if request is None:
                    return
                body, _ = await read_body(reader, request[1])
                method, target, _ = request[0].split()
                if self.down:
                    writer.write(response(503, {}))
                elif method == "POST":
                    writer.write(self.append(target, body))
                else:
                    writer.write(await self.read(target))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    @staticmethod
    def query(target):
        return dict(item.split("=", 1)
                    for item in target.partition("?")[2].split("&") if item)

    def append(self, target, body):
        topic = self.query(target)["topic"]
        if topic in ("keyed.op", "keyed.servers"):
            return response(403, {})
        offset = len(self.topics[topic])
        while body:
            length, = struct.unpack(">I", body[:4])
            content, body = body[4:4 + length], body[4 + length:]
            if topic.startswith("keyed."):
                key_bytes = content[0]
                self.topics[topic].append(
                    (content[1:1 + key_bytes], content[1 + key_bytes:] or None))
            else:
                self.topics[topic].append((None, content))
        self.changed.set()
        self.changed = asyncio.Event()
        answer = {"offset": offset, "end": len(self.topics[topic])}
        return response(200, {"Content-Type": "application/json"},
                        json.dumps(answer).encode())

    async def read(self, target):
        query = self.query(target)
        records = self.topics[query["topic"]]
        if target.startswith("/v1/log-newest"):
            newest = {}
            for offset, (key, value) in enumerate(records):
                newest[key] = (offset, value)
            # JSON holds text only: other bytes are shown as Latin-1.
            items = [{"key": key.decode("latin-1"), "offset": offset,
                      "value": base64.b64encode(value).decode()}
                     for key, (offset, value) in newest.items()
                     if value is not None]
            answer = {"items": items, "hasMore": False, "end": len(records)}
            return response(200, {"Content-Type": "application/json"},
                            json.dumps(answer).encode())
        start = int(query["from"])
        if start > len(records):
            return response(410, {"Content-Type": "application/json"},
                            json.dumps({"first": 0}).encode())
        ends_at = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while len(records) <= start and time.monotonic() < ends_at:
            try:
                await asyncio.wait_for(self.changed.wait(),
                                       ends_at - time.monotonic())
            except asyncio.TimeoutError:
                pass
        body = struct.pack(">QQ", len(records), 0)
        for key, value in records[start:]:
            content = value or b""
            if key is not None:
                content = bytes([len(key)]) + key + content
            body += struct.pack(">I", len(content)) + content
        return response(200, {}, body)


class Server:
    """One server of a service. Cases override run()."""

    def __init__(self, service, number, store, record):
        self.service, self.store, self.record = service, store, record
        self.id = f"i-{service}-{number}"
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.state = "ready"
        self.listed = True

    async def start(self, network):
        address = network.address()
        self.listener = await asyncio.start_server(self.serve, address, 0)
        self.address = "%s:%d" % self.listener.sockets[0].getsockname()[:2]
        self.beat()
        self.beats = asyncio.create_task(self.keep_beating())

    def beat(self):
        self.seq += 1
        return self.store.put("keyed.servers", self.id, {
            "service": self.service, "addr": self.address, "zone": "z1",
            "version": "v1", "slots": 64, "state": self.state, "coldLeftMs": 0,
            "seq": self.seq, "born": self.born})

    async def keep_beating(self):
        while True:
            await asyncio.sleep(BEAT_S)
            if self.listed:
                self.beat()

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_head(reader)
                if request is None:
                    return
                body, whole = await read_body(reader, request[1])
                if not whole:
                    return
                line, headers = request
                path = line.split()[1]
                if path == "/healthz":
                    writer.write(response(200, {"X-Instance-Id": self.id}))
                elif path == "/v1/report":
                    writer.write(response(
                        200, {"Content-Type": "application/json"},
                        b'{"queued":0,"active":0}'))
                elif headers.get("x-expect-instance", self.id) != self.id:
                    writer.write(response(421, {"X-Instance-Id": self.id}))
                elif not await self.run(line, headers, body, reader, writer):
                    return
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def run(self, line, headers, body, reader, writer):
        """Returns whether the connection stays open."""
        raise NotImplementedError


class Gateway:
    """One teaselhill-gateway, started by the command of the deploy file."""

    def __init__(self, number, store, network, folder, record, **settings):
        self.record = record
        self.name = f"front-{number}"
        self.ip = network.address()
        self.front = (self.ip, free_port(self.ip))
        self.ready = (self.ip, free_port(self.ip))
        first = free_port(self.ip)
        self.path = os.path.join(folder, self.name + ".json")
        self.log = open(os.path.join(folder, self.name + ".log"), "ab")
        self.settings = {
            "node": self.name, "role": "gateway", "class": "front",
            "serves": ["front"], "ip": self.ip, "zone": "z1", "region": "r1",
            "zones": {"z1": "r1"},
            "listen": {"front": "%s:%d" % self.front,
                       "ready": "%s:%d" % self.ready},
            "portRange": [first, first + 15], "seeds": [], "bootstrap": True,
            "lossCounts": False,
            "limits": {"cpuShare": 0.25, "cores": 1, "ramMb": 260,
                       "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "vip",
            "beatMs": int(BEAT_S * 1000),
            "tolerate": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": dict(BOUNDS),
            "provider": {"addr": store.address, "form": "log",
                         "writesPerS": 400, "readsPerS": 2000, "parts": 12,
                         "appendMs": 2.0, "partMbS": 20.0, "readMbS": 80.0,
                         "recordBytes": 262144, "callBytes": 2097152,
                         "keep_s": 300, "partMb": 200, "minTtlMs": 1000},
            **settings}
        self.process = None

    @staticmethod
    def command():
        with open(os.path.join(REPO, "deploy", "system.toml")) as file:
            return re.search(r'^run = "(.*)"', file.read(), re.M)[1].split()

    async def start(self):
        with open(self.path, "w") as file:
            json.dump(self.settings, file)
        command = self.command()
        command[0] = os.path.join(REPO, command[0])
        if not os.path.exists(command[0]):
            raise CannotRun(f"{command[0]} is missing: build first")
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=REPO, stdout=self.log, stderr=self.log,
            env={"TEASELHILL_BOOT": self.path,
                 "PATH": os.environ.get("PATH", "/usr/bin:/bin")})
        self.record.write("gateway_started", name=self.name, pid=self.process.pid)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(*self.ready), 1)
            writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: h\r\n\r\n")
            answer = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return answer is not None and " 200 " in answer[0]
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_until_ready(self, seconds=15):
        ends_at = time.monotonic() + seconds
        while not await self.is_ready():
            if time.monotonic() > ends_at:
                raise CannotRun(f"{self.name} does not become ready")
            await asyncio.sleep(0.1)

    def send(self, number):
        if self.process and self.process.returncode is None:
            self.record.write("signal", name=self.name, signal=int(number))
            self.process.send_signal(number)

    async def stop(self):
        if not self.process:
            return
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
        await self.process.wait()


class CannotRun(Exception):
    """The case could not be played."""


def play(folder, case):
    """Runs `case(record, network, folder)` and exits with what it returns. All
    processes end with it: `gateways` collects them."""
    record = Record(folder)
    gateways = []

    def on_terminate(number, frame):
        raise KeyboardInterrupt  # ends the processes on the way out

    signal.signal(signal.SIGTERM, on_terminate)

    async def bounded():
        with tempfile.TemporaryDirectory() as temporary:
            try:
                return await asyncio.wait_for(
                    case(record, Network(), temporary, gateways), 100)
            finally:
                for gateway in gateways:
                    await gateway.stop()
                keep = os.environ.get("KEEP_LOGS")
                if keep:
                    import shutil
                    shutil.copytree(temporary, keep, dirs_exist_ok=True)

    try:
        verdict = asyncio.run(bounded())
    except (CannotRun, asyncio.TimeoutError, KeyboardInterrupt) as problem:
        record.write("cannot_run", why=repr(problem))
        verdict = NOT_RUN
    record.write("verdict", broken=verdict == BROKEN, code=verdict,
                 trouble=TROUBLE)
    print({HELD: "the rule held", BROKEN: "the rule was broken",
           NOT_RUN: "the case could not run"}[verdict])
    raise SystemExit(verdict)
