"""A call of a former holder of the duties reaches the platform after those of the next."""

import asyncio
import os
import random
import sys

sys.dont_write_bytecode = True
FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))

import fleet as stand  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOSTS = 6  # of which one is cut off: a share of 0.167
WINDOW_S = 5
CUT_S = 5.5
THAW_S = 0.3  # thawMs

# A segment without an acknowledgement is sent again after 0.2 s, and each time after
# twice as long (RFC 6298; 0.2 s is the least time on Linux).
FIRST_RETRANSMISSION_S = 0.2


def retransmission_after(seconds):
    """Time of the first retransmission of a segment that late after it was first sent."""
    at, timeout = FIRST_RETRANSMISSION_S, FIRST_RETRANSMISSION_S
    while at < seconds:
        timeout *= 2
        at += timeout
    return at


class Link:
    """The network between one gateway and a server of the platform."""

    def __init__(self, record, name, target):
        self.record, self.name, self.target = record, name, target
        self.cut = False
        self.writers = set()
        self.on_first_bytes = None  # called once, with what a connection sends first

    async def start(self, address):
        self.server = await asyncio.start_server(self.serve, address, 0)
        return "%s:%d" % self.server.sockets[0].getsockname()[:2]

    async def serve(self, reader, writer):
        first = await reader.read(65536)
        if not first:
            return writer.close()
        watch, hold = self.on_first_bytes, False
        if watch and not self.cut:
            hold = watch(first)
        if self.cut and not hold:
            return await self.lose(reader, writer)
        if hold:
            self.on_first_bytes = None
            return await self.deliver_late(first, reader, writer)
        await self.carry(first, reader, writer)

    async def lose(self, reader, writer):
        """No packet of a connection that is opened during a cut arrives."""
        try:
            while await reader.read(65536):
                pass
        except ConnectionError:
            pass
        writer.close()

    async def deliver_late(self, first, reader, writer):
        """What was sent as the cut began is sent again until it is acknowledged, also
        after its sender has closed the connection, but not after a reset."""
        due = retransmission_after(CUT_S)
        was_reset = False
        start = self.record.now()
        try:
            await asyncio.wait_for(reader.read(65536), due)
        except ConnectionError:
            was_reset = True
        except asyncio.TimeoutError:
            pass
        closed_at = self.record.now()
        self.record.write(f"{self.name}: the sender "
                          f"{'resets' if was_reset else 'closes'} after "
                          f"{closed_at - start:.3f} s")
        if was_reset:
            return
        await asyncio.sleep(max(0.0, start + due - closed_at))
        self.record.say(f"{self.name}: what was held up arrives "
                        f"{self.record.now() - start - CUT_S:.3f} s after the cut")
        up_reader, up_writer = await asyncio.open_connection(*self.target)
        up_writer.write(first)
        await up_reader.read(65536)
        up_writer.close()
        writer.close()

    async def carry(self, first, reader, writer):
        up_reader, up_writer = await asyncio.open_connection(*self.target)
        pair = {writer, up_writer}
        self.writers |= pair
        try:
            up_writer.write(first)
            await asyncio.gather(self.pump(reader, up_writer),
                                 self.pump(up_reader, writer))
        except ConnectionError:
            pass
        finally:
            self.writers -= pair
            for each in pair:
                each.close()

    async def pump(self, reader, writer):
        while True:
            data = await reader.read(65536)
            if data and self.cut:
                continue
            if not data:
                if writer.can_write_eof():
                    writer.write_eof()
                return
            writer.write(data)
            await writer.drain()

    def heal(self):
        """Connections that were open before the cut have been given up by then."""
        self.cut = False
        for writer in list(self.writers):
            stand.reset(writer)


class CutFleet(stand.Fleet):
    """Each gateway has links of its own to the store and to the API."""

    async def prepare(self, host):
        store_ip, store_port = self.store_address.split(":")
        host.store_link = Link(self.record, f"{host.name} to store",
                               (store_ip, int(store_port)))
        host.store_address = await host.store_link.start(self.network.address(202))
        host.api_link = Link(self.record, f"{host.name} to platform", self.api_target)
        host.more_settings = {"cloud": {
            "addr": await host.api_link.start(self.network.address(203)),
            "ratePerS": 50.0, "duties": ["metering"], "dutyPerS": 50.0}}


async def client(host, rng, record):
    number = 0
    while True:
        await asyncio.sleep(rng.uniform(0.05, 0.15))
        number += 1
        attempt = f"{host.number:02x}{rng.getrandbits(40):010x}{number:04x}"
        status, _, _ = await stand.call(
            host, "GET", f"/lookup/{number}",
            {"X-Attempt-Id": attempt, "X-Deadline-Ms": 1200,
             "Authorization": f"Bearer {rng.choice(stand.KEYS)[1]}"}, timeout_s=1.2)
        record.write(f"client of {host.name} {attempt} -> {status}")


async def until(condition, limit_s, what):
    for _ in range(int(limit_s / 0.02)):
        if condition():
            return
        await asyncio.sleep(0.02)
    raise stand.Cannot(what)


async def play(fleet, record):
    api = stand.Api(record)
    address = fleet.network.address(201)
    fleet.api_target = (address, await api.start(address))
    fleet.bounds.update(requireFence=False, leaseMs=3000, thawMs=300,
                        reportWindowS=WINDOW_S, usageOff=0.05, usageDelayS=10)
    await fleet.start(HOSTS)
    clients = [asyncio.create_task(client(host, random.Random(host.number), record))
               for host in fleet.hosts]
    await until(lambda: len(api.reports) >= 2, 30, "no usage report came")
    holder = next(host for host in fleet.hosts if host.name == api.reports[-1][1])
    record.say(f"{holder.name} holds the duties")
    healed_at = None
    if TROUBLE:
        began = []

        def begin(first):
            if not first.startswith(b"POST /usage"):
                return False
            holder.api_link.cut = holder.store_link.cut = True
            began.append(record.now())
            record.say(f"{holder.name} is cut off as it sends a call")
            return True

        holder.api_link.on_first_bytes = begin
        await until(lambda: began, 2 * WINDOW_S, "the holder sent no call")
        await asyncio.sleep(CUT_S)
        holder.api_link.heal()
        holder.store_link.heal()
        healed_at = record.now()
        record.say(f"{holder.name} is no longer cut off")
        await asyncio.sleep(4)
    else:
        await asyncio.sleep(2 * WINDOW_S + CUT_S)
    for each in clients:
        each.cancel()
    return check(api, holder, healed_at, record)


def check(api, holder, healed_at, record):
    """The rule: no call has a lower epoch number than the platform has seen for the duty
    and subject, but for calls within thawMs after the link of their sender healed."""
    highest, by, broken = 0, "", []
    for at, name, token, window, _ in api.reports:
        excused = (healed_at is not None and name == holder.name
                   and healed_at <= at <= healed_at + THAW_S)
        if token < highest and not excused:
            broken.append(f"at {at:.3f} s the platform got a call of {name} with epoch "
                          f"number {token} for window {window}, after {highest} of {by}")
        if token > highest:
            highest, by = token, name
    record.say(f"{len(api.reports)} calls, last epoch number {highest}")
    return broken


stand.Fleet = CutFleet
stand.main(FOLDER, play)
