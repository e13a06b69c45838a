"""Gateways as processes, and the store and upstreams they use."""

import asyncio
import json
import os
import random
import signal
import socket
import time

import http_io
from cuts import CutWatch
from plan import GUEST, Plan
from proxy import Proxy
from store import Store
from upstream import Upstream
from versions import CONTACT_S

# Last part of the address at which upstreams are registered, and of the addresses
# by which it is replaced for the first hosts, so that each can be cut off alone.
UPSTREAMS = 220
FIRST_VIEW = 100
MOST_VIEWS = 20

# Engines of each software version, and upstreams of the plain service.
ENGINES_PER_VERSION = 3
SERVICES = 3

# Period in which an upstream renews its entry, and the silence after which the
# entry lapses.
RENEWAL_S = 1.2
LAPSE_S = 3 * RENEWAL_S

# Time in which the hosts that were started must be ready.
READY_S = 15

# Time from one replacement of a host's build to the next.
UPGRADE_PERIOD_S = 4.0

# Ports that the system never gives to connections or listeners by itself.
HOST_PORTS = range(10000, 30000)


def free_ports(address, count):
    """Different ports that nobody else gets before the host listens on them."""
    probes = []
    while len(probes) < count:
        probe = socket.socket()
        try:
            probe.bind((address, random.SystemRandom().choice(HOST_PORTS)))
            probes.append(probe)
        except OSError:
            probe.close()
    ports = [probe.getsockname()[1] for probe in probes]
    for probe in probes:
        probe.close()
    return ports


class Host:
    """One gateway; restarted by the soak whenever it ends."""

    def __init__(self, number, binary, folder, network, store, options):
        self.number = number
        self.options = options
        self.name = f"host-{number}"
        self.binary = binary
        self.address = f"{network}.{number + 1}"
        callers, readiness, self.peer_port, self.relay_port = free_ports(
            self.address, 4)
        self.callers = (self.address, callers)
        self.readiness = (self.address, readiness)
        self.settings = os.path.join(folder, self.name + ".json")
        self.log = open(os.path.join(folder, self.name + ".log"), "ab")
        self.store_proxy = Proxy(store)
        self.incarnation = 0
        self.binaries = {}  # incarnation: its build
        self.ready = False
        self.process = None
        self.ending = False
        self.restart_s = 0.2
        self.terminated = {}  # incarnation: time of SIGTERM
        self.last_fault = 0.0
        self.started_at = 0.0  # of the present process
        self.asks_others = True  # at its start, for what they were told

    async def start(self):
        self.store_port = await self.store_proxy.start(self.address)
        self.write_settings()
        asyncio.create_task(self.keep_running())
        asyncio.create_task(self.watch_readiness())

    def write_settings(self, extra=None):
        settings = {
            "node": self.name, "zone": f"z{self.address[-1]}",
            "ip": self.address,
            "listen": {"front": "%s:%d" % self.callers,
                       "ready": "%s:%d" % self.readiness},
            "limits": {"maxFds": 1024, **self.memory_limit()},
            "portRange": [self.peer_port, self.relay_port],
            "bounds": {"graceS": self.options.grace, "retryRatio": 0.2,
                       "retryWindowS": 10, "retryExtra": 54, "drainMs": 2000},
            "provider": {"addr": f"{self.address}:{self.store_port}"},
            "extra": extra}
        with open(self.settings + ".new", "w") as file:
            json.dump(settings, file)
        os.replace(self.settings + ".new", self.settings)

    def memory_limit(self):
        """Hosts that are told no limit keep their default."""
        if self.options.ram_mb is None:
            return {}
        return {"ramMb": self.options.ram_mb}

    async def keep_running(self):
        while not self.ending:
            self.incarnation += 1
            self.binaries[self.incarnation] = self.binary
            self.started_at = time.monotonic()
            self.process = await asyncio.create_subprocess_exec(
                self.binary, stdout=self.log, stderr=self.log,
                env={"TEASELHILL_BOOT": self.settings, "PATH": "/usr/bin:/bin"})
            await self.process.wait()
            await asyncio.sleep(self.restart_s)

    async def watch_readiness(self):
        misses = 0
        while not self.ending:
            good = await self.probe()
            misses = 0 if good else misses + 1
            self.ready = good or (self.ready and misses < 2)
            await asyncio.sleep(0.5)

    async def probe(self):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(*self.readiness), 0.5)
            writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: h\r\n\r\n")
            head = await asyncio.wait_for(http_io.read_head(reader), 0.5)
            writer.close()
            return head is not None and " 200 " in head[0]
        except (OSError, asyncio.TimeoutError, http_io.TornMessage):
            return False

    def send(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    def serves(self):
        """Ready, and not told to stop."""
        return (self.ready and self.process.returncode is None
                and self.incarnation not in self.terminated)

    def peak_memory_mb(self):
        return self.memory_mb("VmHWM")

    def memory_mb(self, name):
        """A field of the present process's status; 0 if there is no process."""
        try:
            with open(f"/proc/{self.process.pid}/status") as status:
                for line in status:
                    if line.startswith(name + ":"):
                        return int(line.split()[1]) / 1024
        except (OSError, AttributeError):
            pass
        return 0

    def disturbed_within(self, seconds):
        return time.monotonic() - self.last_fault < seconds

    def only_terminated(self, sent_at, incarnation):
        stopped = self.terminated.get(incarnation)
        return (stopped is not None and sent_at < stopped + 2.5
                and self.last_fault < sent_at - 3)

    async def stop(self):
        self.ending = True
        self.send(signal.SIGCONT)
        self.send(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(),
                                   self.options.grace + 2)
        except asyncio.TimeoutError:
            self.process.kill()


class Fleet:
    upstream_type = Upstream

    def __init__(self, ledger, rng, options, folder, network):
        self.ledger, self.rng, self.options = ledger, rng, options
        self.folder, self.network = folder, network
        self.leaving_checked = False
        self.hosts, self.upstreams = [], []
        self.keys = [("crew", "key-crew"), ("office", "key-office")]
        self.plan = Plan(random.Random(options.seed))
        if options.other_services:
            self.keys.append(GUEST)
        self.version = 0
        self.config_put_at = {}  # by version
        self.next_silence_at = 0.0
        self.crashing_parts = []
        self.upstream_fault = 0.0
        self.drafts_until = 0.0
        self.next_restore_at = 0.0
        self.next_loss_at = 0.0
        self.next_version_change_at = 0.0
        self.next_upgrade_at = time.monotonic() + UPGRADE_PERIOD_S
        self.next_version_end_at = 0.0
        self.cuts = CutWatch()

    def binary_of(self, number):
        """The build that is being replaced starts on every second host."""
        if self.options.production and number % 2 == 0:
            return self.options.production
        return self.options.binary

    async def start(self, host_count):
        self.store = Store(self.rng)
        self.put_config()
        self.host_count = host_count
        engines = ENGINES_PER_VERSION * self.options.versions
        for number in range(engines + SERVICES):
            service = "llm" if number < engines else "app"
            for suffix in self.suffixes():
                await self.add_upstream(f"i-{number}{suffix}", service + suffix)
        for number in range(host_count):
            port = await self.store.start(self.network + ".200", (
                f"{self.network}.{UPSTREAMS}:".encode(),
                f"{self.upstreams_of(number)}:".encode()))
            host = Host(number, self.binary_of(number), self.folder, self.network,
                        (self.network + ".200", port), self.options)
            # Older builds do not answer, and without the store none is known.
            host.asks_others = not (self.options.production
                                    or self.options.store_away)
            self.hosts.append(host)
            await host.start()
        asyncio.create_task(self.renew())

    async def wait_until_ready(self):
        start = time.monotonic()
        while not all(host.ready for host in self.hosts):
            await asyncio.sleep(0.05)
            if time.monotonic() - start > READY_S:
                raise SystemExit("the hosts did not become ready")

    def upstreams_of(self, host):
        """Address at which this host, and no other, reaches all upstreams."""
        last = FIRST_VIEW + host if host < MOST_VIEWS else UPSTREAMS
        return f"{self.network}.{last}"

    def host_at(self, address):
        """The host that alone reaches upstreams at this address, or None."""
        return next((host for host in self.hosts[:MOST_VIEWS]
                     if self.upstreams_of(host.number) == address), None)

    def put_config(self):
        self.version += self.rng.randint(1, 4)
        route = {"host": "h.example", "timeoutMs": 4000, "priority": 0,
                 "allowAnon": False}
        manifest = self.plan.apply({
            "version": self.version,
            "routes": [
                {**route, "name": "marker", "kind": "safe", "service": "app",
                 "pathPrefix": f"/marker-{self.version}/", "attempts": 2,
                 "goalMs": 150, "allowAnon": True},
                {**route, "name": "draft", "pathPrefix": "/draft/",
                 "kind": "streaming", "service": "llm", "attempts": 3,
                 "resumable": True, "goalMs": 400, "gapGoalMs": 400,
                 "priority": 1},
                {**route, "name": "safe", "pathPrefix": "/safe/",
                 "kind": "safe", "service": "app", "attempts": 2, "goalMs": 150},
                {**route, "name": "once", "pathPrefix": "/once/",
                 "kind": "mutating", "service": "app", "attempts": 1,
                 "goalMs": 150},
                {**route, "name": "stream", "pathPrefix": "/stream/",
                 "kind": "streaming", "service": "llm", "attempts": 3,
                 "resumable": True, "goalMs": 400, "gapGoalMs": 400}],
            "services": [
                service for suffix in self.suffixes() for service in (
                    {"name": "app" + suffix, "healthPath": "/healthz"},
                    {"name": "llm" + suffix, "healthPath": "/healthz",
                     "engine": {"slots": 8}})],
            "tenants": [{"name": team, "apiKeys": [key]}
                        for team, key in self.keys]})
        self.config_put_at[self.version] = self.store.put("keyed.op", "config",
                                                          manifest)

    def suffixes(self):
        """Of the services' names."""
        return ("", "-b") if self.options.other_services else ("",)

    async def add_upstream(self, name, service):
        upstream = self.upstream_type(name, service, self.ledger, self.rng,
                                      self.options)
        upstream.on_restart = self.on_restart
        upstream.host_at = self.host_at
        upstream.version = self.next_version(service)
        await upstream.start(self.network + ".210")
        upstream.proxy = Proxy(upstream.target)
        upstream.port = await upstream.proxy.start(
            f"{self.network}.{UPSTREAMS}",
            [self.upstreams_of(number)
             for number in range(min(self.host_count, MOST_VIEWS))])
        self.upstreams.append(upstream)
        self.register(upstream)

    def next_version(self, service):
        """The versions of a service are as even as can be, unless some of them
        have a single upstream."""
        counts = {f"v{number}": 0
                  for number in range(1, self.options.versions + 1)}
        for upstream in self.upstreams:
            if upstream.service == service and upstream.left_at is None:
                counts[upstream.version] += 1
        if self.options.single_version and counts["v1"]:
            counts.pop("v1")
        return min(counts, key=counts.get)

    def serving(self, version, since):
        """Engines of this version that have served undisturbed since then."""
        if self.upstreams_disturbed_since(since - CONTACT_S):
            return 0
        return sum(upstream.service == "llm" and upstream.version == version
                   and upstream.left_at is None and not upstream.down
                   for upstream in self.upstreams)

    def on_restart(self, upstream):
        """The new process registers; the entry of an old id lapses."""
        if upstream.left_at is not None:
            return
        old_name = upstream.registered_name
        if old_name != upstream.name:
            asyncio.create_task(self.lapse(old_name, upstream.registered_at))
        self.register(upstream)

    async def lapse(self, name, registered_at):
        await asyncio.sleep(max(0, registered_at + LAPSE_S - time.monotonic()))
        self.store.put("keyed.servers", name, None)

    def register(self, upstream, state="ready"):
        upstream.registered_name = upstream.name
        upstream.registered_at = time.monotonic()
        return self.store.put("keyed.servers", upstream.name, {
            "service": upstream.service, "zone": "z1", "seq": 0,
            "slots": self.options.slots if upstream.brittle else 8,
            "addr": self.address_of(upstream), "state": state,
            "version": upstream.version,
            **({} if self.options.new_ids else {"born": upstream.born})})

    def address_of(self, upstream):
        return f"{self.network}.{UPSTREAMS}:{upstream.port}"

    async def renew(self):
        while True:
            await asyncio.sleep(RENEWAL_S)
            for upstream in list(self.upstreams):
                if upstream.dead:
                    self.store.put("keyed.servers", upstream.name, None)
                    self.upstreams.remove(upstream)
                elif not upstream.down and upstream.left_at is None:
                    self.register(upstream)

    def pick(self, rng):
        ready = [host for host in self.hosts if host.ready]
        return rng.choice(ready) if ready else None

    def upstreams_disturbed_since(self, when):
        return self.upstream_fault > when

    def hold_upstream_fault(self, seconds):
        self.upstream_fault = max(self.upstream_fault,
                                  time.monotonic() + seconds)

    async def stop(self):
        await asyncio.gather(*(host.stop() for host in self.hosts))
