"""Usage is reported twice, with different counts, after a drill of the store."""

import asyncio
import os
import random
import sys
import time

sys.dont_write_bytecode = True
FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))

import fleet as stand  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOSTS = 4
WINDOW_S = 5
COPY_AGE_S = 3.0
AWAY_S = 1.0


async def client(fleet, host, rng):
    """One caller of a host: a request every 50 ms or so, while it is ready."""
    number = 0
    while True:
        await asyncio.sleep(rng.uniform(0.03, 0.07))
        number += 1
        team, key = rng.choice(stand.KEYS)
        attempt = f"{host.number:02x}{rng.getrandbits(40):010x}{number:04x}"
        if host.process.returncode is not None:
            continue
        status, _, _ = await stand.call(
            host, "GET", f"/lookup/{number}",
            {"X-Attempt-Id": attempt, "X-Deadline-Ms": 1200,
             "Authorization": f"Bearer {key}"}, timeout_s=1.2)
        fleet.record.write(f"client of {host.name} {team} {attempt} -> {status}")


async def next_report(api, after, limit_s, suits):
    """The first report after the first `after` ones that suits."""
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        for report in api.reports[after:]:
            if suits(report):
                return report
        await asyncio.sleep(0.02)
    raise stand.Cannot("no usage report came")


async def play(fleet, record):
    api = stand.Api(record)
    address = fleet.network.address(201)
    port = await api.start(address)
    fleet.more_settings = {"cloud": {"addr": f"{address}:{port}", "ratePerS": 50.0,
                                     "duties": ["metering"], "dutyPerS": 50.0}}
    fleet.bounds.update(requireFence=False, leaseMs=3000, thawMs=300,
                        reportWindowS=WINDOW_S, usageOff=0.05, usageDelayS=10)
    await fleet.start(HOSTS)
    clients = [asyncio.create_task(client(fleet, host, random.Random(host.number)))
               for host in fleet.hosts]
    by_name = {host.name: host for host in fleet.hosts}

    report = await next_report(api, 0, 30, lambda each: sum(each[4].values()) > 50)
    record.say(f"{report[1]} holds the duties and has reported window {report[3]}: "
               f"{report[4]}")
    # A planned restart of the holder, as in a roll-out.
    restart = asyncio.create_task(by_name[report[1]].restart_planned())
    await asyncio.sleep(0.5)
    if TROUBLE:
        await fleet.store.drill(AWAY_S, COPY_AGE_S)
    await asyncio.sleep(17)
    await restart
    for each in clients:
        each.cancel()
    return check(api, record)


def check(api, record):
    """The rule: no two accepted reports of one window have different counts."""
    accepted = {}
    broken = []
    for at, holder, token, window, counts in api.reports:
        known = accepted.setdefault(window, (at, holder, token, counts))
        if known[3] != counts:
            broken.append(
                f"window {window}: {known[3]} from {known[1]} (token {known[2]}) at "
                f"{known[0]:.3f} s, and {counts} from {holder} (token {token}) at "
                f"{at:.3f} s, both accepted")
    record.say(f"{len(api.reports)} reports of {len(accepted)} windows")
    return broken


stand.main(FOLDER, play)
