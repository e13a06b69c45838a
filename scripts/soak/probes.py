"""Probes of single hosts: configuration in time and never backwards."""

import asyncio
import time
import uuid

import http_io

# Bound on a new configuration version, and time after a fault on the host or its
# way to the store in which that bound does not hold.
CONFIG_BOUND_S = 2.0
RECOVERY_S = 3.0


class ConfigProbe:
    """Asks one host for the route that only one version of the configuration has."""

    def __init__(self, fleet, ledger, host, rng):
        self.fleet, self.ledger, self.host, self.rng = fleet, ledger, host, rng
        self.seen = {}  # incarnation: newest version in force there

    async def run(self, end):
        while time.monotonic() < end:
            await asyncio.sleep(self.rng.uniform(0.2, 0.6))
            await self.check_newest()
            await self.check_older()

    async def check_newest(self):
        version = self.fleet.version
        incarnation, sent_at = self.host.incarnation, time.monotonic()
        status = await self.ask(version)
        if status == 200:
            self.seen[incarnation] = max(version, self.seen.get(incarnation, 0))
        if status == 404 and version == self.fleet.version:
            self.check_late(version, sent_at)

    async def check_older(self):
        """Asks for a version that the host, as far as is known, has replaced."""
        incarnation, sent_at = self.host.incarnation, time.monotonic()
        seen = self.seen.get(incarnation, 0)
        due = max([v for v, put_at in self.fleet.config_put_at.items()
                   if sent_at > put_at + CONFIG_BOUND_S], default=0)
        older = [v for v in self.fleet.config_put_at if v < max(seen, due)]
        if not older:
            return
        version = self.rng.choice(older[-3:])
        if await self.ask(version) != 200 or incarnation != self.host.incarnation:
            return
        if version < seen:
            self.ledger.violate("config_backwards", f"{self.host.name} served "
                                f"version {version} after {seen}")
        else:
            self.check_late(due, sent_at)

    def check_late(self, version, sent_at):
        """The host had no such version at that time."""
        age = sent_at - self.fleet.config_put_at[version]
        if age > CONFIG_BOUND_S and not self.host.disturbed_within(RECOVERY_S):
            self.ledger.violate("config_late", f"{self.host.name} lacks version "
                                f"{version} after {age:.2f} s")

    async def ask(self, version):
        """Returns the status; None if the host does not answer."""
        request_id = uuid.UUID(int=self.rng.getrandbits(128)).hex
        target = f"/marker-{version}/x"
        self.ledger.on_sent(request_id, "marker", target, None, b"", self.host)
        writer = None
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(*self.host.callers), 1)
            writer.write(http_io.head(f"GET {target} HTTP/1.1", {
                "Host": "h.example", "X-Attempt-Id": request_id,
                "X-Deadline-Ms": 1000, "Connection": "close"}))
            answer = await asyncio.wait_for(http_io.read_head(reader), 1.5)
        except (OSError, asyncio.TimeoutError, http_io.TornMessage):
            return None
        finally:
            if writer:
                writer.close()
        return int(answer[0].split()[1]) if answer else None
