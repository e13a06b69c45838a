"""Faults of hosts, store and upstreams, and work that is planned by operators."""

import asyncio
import signal
import time

from broken_answers import SILENCE_S
from budget import MOST_ATTEMPTS, SERVICE_OF_KIND
from cuts import CUT_MODES
from fleet import ENGINES_PER_VERSION, UPGRADE_PERIOD_S
from upstream import ENDLESS, ENDLESS_S
from versions import CONTACT_S

# Time in which what a restored store has lost is written again.
REWRITE_S = 1.0

# Time from one end of a version to the next, and from the end of its engines to the
# loss of all hosts.
VERSION_END_PERIOD_S = 4.0
ENDED_BEFORE_LOSS_S = (0.2, 0.6)

# Time from one loss of all hosts to the next: the hosts are disturbed for some of
# it, and streams that begin are counted in the rest.
LOSS_PERIOD_S = 6.0

# Time from the end of an upstream's pause to its next one: pauses that follow each
# other would be a longer one.
BETWEEN_PAUSES_S = 1.0

# Time in which a crashed upstream's requests end; it is down for longer.
OLD_PROCESS_S = 0.3

# Time in which streams begin at a version that joins, and for which the hosts that
# know it are lost.
JOIN_S = (2.0, 1.8)

# The bounds hold again some seconds after a restore, so the next one comes later.
RESTORE_PERIOD_S = 8.0


async def terminate(fleet, host):
    host.terminated[host.incarnation] = time.monotonic()
    host.send(signal.SIGTERM)


async def kill(fleet, host):
    host.last_fault = time.monotonic() + 1
    host.send(signal.SIGKILL)


async def freeze(fleet, host):
    seconds = fleet.rng.uniform(0.3, 2.5)
    host.last_fault = time.monotonic() + seconds
    host.send(signal.SIGSTOP)
    await asyncio.sleep(seconds)
    host.send(signal.SIGCONT)


async def reload(fleet, host):
    host.write_settings(extra=fleet.rng.random())
    if fleet.rng.random() < 0.5:
        host.send(signal.SIGHUP)


async def cut_from_store(fleet, host):
    seconds = fleet.rng.uniform(0.5, 3)
    host.last_fault = time.monotonic() + seconds
    await host.store_proxy.disturb(
        fleet.rng.choice(["delay", "reset", "silent", "one_way"]), seconds)


async def change_config(fleet, host):
    for _ in range(fleet.rng.randint(1, 3)):
        fleet.put_config()
        await asyncio.sleep(0.1)


async def disturb_store(fleet, host):
    seconds = fleet.rng.uniform(0.5, 3)
    for each in fleet.hosts:
        each.last_fault = time.monotonic() + seconds
    await fleet.store.disturb(fleet.rng.choice(["down", "silent", "slow", "stale"]),
                              seconds)


async def silence_store(fleet, host):
    """Answers nothing for so long that the hosts' reads are lost. The hosts have
    two seconds for what was written meanwhile, one less than after other faults."""
    if time.monotonic() < fleet.next_silence_at:
        return
    seconds = fleet.rng.uniform(0.5, 8)
    for each in fleet.hosts:
        each.last_fault = time.monotonic() + seconds - 1
    fleet.next_silence_at = time.monotonic() + seconds + 4
    await fleet.store.disturb("silent", seconds)


async def compact_store(fleet, host):
    for topic in fleet.store.topics.values():
        topic.compact()


async def foreign_entry(fleet, host):
    fleet.store.put_bytes("keyed.servers", "other-writer", fleet.rng.choice(
        [b"\xff\x00", b"{}", b'{"service":7}', b"[1,2]"]))


async def disturb_upstream(fleet, host):
    upstream = fleet.rng.choice(fleet.upstreams)
    fault = fleet.rng.choice(["lose", "refuse", "busy", "garble", "cut",
                              "cut_stream", "double", "hang"])
    seconds = fleet.rng.uniform(0.5, 3)
    fleet.hold_upstream_fault(seconds)
    upstream.faults[fault] = fleet.rng.choice([0.05, 0.3, 1.0])
    await asyncio.sleep(seconds)
    upstream.faults.pop(fault, None)


async def cut_upstream(fleet, host):
    upstream = fleet.rng.choice(fleet.upstreams)
    seconds = fleet.rng.uniform(0.3, 2)
    fleet.hold_upstream_fault(seconds)
    upstream.cut_at = time.monotonic() + seconds
    await upstream.proxy.disturb(
        fleet.rng.choice(["delay", "reset", "silent", "one_way", "refuse"]),
        seconds)


async def crash_upstream(fleet, host):
    upstream = fleet.rng.choice(fleet.upstreams)
    seconds = fleet.rng.uniform(0.5, 2)
    fleet.hold_upstream_fault(seconds)
    await upstream.crash_for(seconds)


async def burst_of_drafts(fleet, host):
    """Less urgent work above the capacity of the engines."""
    fleet.drafts_until = time.monotonic() + fleet.rng.uniform(1, 3)


async def replace_upstream(fleet, host):
    """An upstream leaves, with or without saying so; another takes its place."""
    staying = [u for u in fleet.upstreams if u.left_at is None and not u.dead]
    upstream = fleet.rng.choice(staying)
    await fleet.add_upstream(f"i-{len(fleet.upstreams)}", upstream.service)
    await asyncio.sleep(2.2)
    if any(host.disturbed_within(3) for host in fleet.hosts):
        return  # the bound holds for undisturbed hosts only
    if fleet.rng.random() < 0.5:
        at = fleet.register(upstream, state="draining")
    else:
        at = fleet.store.put("keyed.servers", upstream.name, None)
    upstream.left_at = at if fleet.leaving_checked else at + 1e9


async def restore_store(fleet, host):
    """The store is away for a moment and comes back from a copy; the operator and
    the upstreams write again what it has lost."""
    if time.monotonic() < fleet.next_restore_at:
        return
    fleet.next_restore_at = time.monotonic() + RESTORE_PERIOD_S
    seconds = fleet.rng.uniform(0.3, 1)
    for each in fleet.hosts:
        each.last_fault = time.monotonic() + seconds + REWRITE_S
    await fleet.store.disturb("down", seconds)
    lost = fleet.store.restore(fleet.rng.uniform(1, 5))
    await asyncio.sleep(fleet.rng.uniform(0, REWRITE_S))
    for topic, records in lost.items():
        for key, value in records:
            fleet.store.put_bytes(topic, key, value)


async def endless_upstream(fleet, host):
    """An upstream answers with bytes without end."""
    upstream = fleet.rng.choice(fleet.upstreams)
    fault = fleet.rng.choice(ENDLESS)[0]
    seconds = fleet.rng.uniform(0.5, 2)
    fleet.hold_upstream_fault(seconds + ENDLESS_S)
    upstream.faults[fault] = fleet.rng.choice([0.1, 1.0])
    await asyncio.sleep(seconds)
    upstream.faults.pop(fault, None)


async def limit_upstream(fleet, host):
    """An upstream in need names a limit, changes it and is well again."""
    upstream = fleet.rng.choice(fleet.upstreams)
    if upstream.limit is not None:
        return
    for _ in range(fleet.rng.randint(1, 2)):
        upstream.name_limit(fleet.rng.choice([0, 0.5, 1, 1.1, 3, 20]))
        await asyncio.sleep(fleet.rng.uniform(4, 8))
    upstream.name_limit(None)


async def say_leaving(fleet, host):
    """An upstream says in its answers that it leaves, and registers it much later
    or never."""
    upstream = fleet.rng.choice(fleet.upstreams)
    others = [each for each in fleet.upstreams if each is not upstream
              and each.service == upstream.service and not each.notices.leaving]
    if upstream.notices.leaving or upstream.down or not others:
        return
    upstream.notices.leaving = True
    await asyncio.sleep(fleet.rng.uniform(4, 7))
    await upstream.crash_for(0.1)


async def turn_away(fleet, host):
    """Upstreams refuse requests and name a time in which they want none."""
    service = fleet.rng.choice(fleet.upstreams).service
    upstreams = [each for each in fleet.upstreams if each.service == service
                 and each.notices.wait_s is None]
    chosen = fleet.rng.sample(upstreams, fleet.rng.randint(0, len(upstreams)))
    for upstream in chosen:
        upstream.notices.wait_s = fleet.rng.choice([1.5, 4, 90])
    await asyncio.sleep(fleet.rng.uniform(2, 5))
    for upstream in chosen:
        upstream.notices.wait_s = None


async def change_routes(fleet, host):
    """A quick series of changes of routes, services and teams, with SIGHUP."""
    for _ in range(fleet.rng.randint(1, 8)):
        fleet.plan.change({kind: (service, MOST_ATTEMPTS[kind])
                           for kind, service in SERVICE_OF_KIND.items()})
        fleet.put_config()
        if fleet.rng.random() < 0.5:
            await reload(fleet, fleet.rng.choice(fleet.hosts))
        await asyncio.sleep(fleet.rng.uniform(0.02, 0.3))


async def pause_upstream(fleet, host):
    """A sound upstream says nothing at all for a moment and goes on."""
    upstream = fleet.rng.choice(fleet.upstreams)
    if time.monotonic() < upstream.cut_at + BETWEEN_PAUSES_S:
        return
    seconds = fleet.rng.uniform(*SILENCE_S)
    upstream.cut_at = time.monotonic() + seconds
    await upstream.proxy.disturb("silent", seconds)


async def cut_hosts_off(fleet, host):
    """Some hosts reach no upstream for a while; all else reaches them."""
    if fleet.cuts.running(time.monotonic()):
        return
    count = fleet.rng.randint(2, len(fleet.hosts) // 2 + 1)
    cut = fleet.rng.sample(fleet.hosts, count)
    mode = fleet.options.cut_mode or fleet.rng.choice(CUT_MODES)
    seconds = fleet.rng.uniform(4, 6)
    fleet.hold_upstream_fault(seconds)
    fleet.cuts.on_cut(cut, time.monotonic(), seconds)
    await asyncio.gather(fleet.cuts.watch_helpers(fleet.hosts), *(
        upstream.proxy.cut(fleet.upstreams_of(each.number), mode, seconds)
        for upstream in fleet.upstreams for each in cut))


async def end_version(fleet, host):
    """The last engines of a version end, and then all hosts are lost at once."""
    if time.monotonic() < fleet.next_version_end_at:
        return
    fleet.next_version_end_at = time.monotonic() + VERSION_END_PERIOD_S
    await asyncio.sleep(VERSION_END_PERIOD_S / 2)
    engines = [each for each in fleet.upstreams if each.service == "llm"]
    versions = sorted({each.version for each in engines})
    for each in engines if len(versions) > 1 else []:
        if each.version == versions[0]:
            each.crash()
            each.dead = True
            fleet.store.put("keyed.servers", each.name, None)
            fleet.upstreams.remove(each)
    fleet.hold_upstream_fault(CONTACT_S)
    await asyncio.sleep(fleet.rng.uniform(*ENDED_BEFORE_LOSS_S))
    for each in fleet.hosts:
        await kill(fleet, each)


async def change_version(fleet, host):
    """An engine crashes and starts again under its id with another version."""
    if time.monotonic() < fleet.next_version_change_at:
        return
    fleet.next_version_change_at = (time.monotonic()
                                    + fleet.options.version_change_period)
    engines = [each for each in fleet.upstreams if each.service == "llm"
               and not each.down and each.left_at is None]
    others = sorted({each.version for each in engines})
    if len(others) < 2:
        return
    upstream = fleet.rng.choice(engines)
    others.remove(upstream.version)
    seconds = fleet.rng.uniform(0.5, 1.5)
    fleet.hold_upstream_fault(seconds)
    restart = asyncio.create_task(upstream.crash_for(seconds))
    # What the old process had waiting ends first.
    await asyncio.sleep(OLD_PROCESS_S)
    upstream.version = fleet.rng.choice(others)
    await restart


async def join_out_of_step(fleet, host):
    """Engines of a second version join while one host does not reach the store.
    Then the others, at which streams have begun there, are lost for a while."""
    if fleet.options.versions > 1:
        return
    fleet.options.versions = 2
    for each in fleet.hosts:
        each.last_fault = time.monotonic() + sum(JOIN_S)
    cut = asyncio.create_task(host.store_proxy.disturb("silent", sum(JOIN_S)))
    for _ in range(ENGINES_PER_VERSION):
        await fleet.add_upstream(f"i-{len(fleet.upstreams)}", "llm")
    await asyncio.sleep(JOIN_S[0])
    for each in fleet.hosts:
        if each is not host:
            each.restart_s, each.ready = JOIN_S[1], False
            each.send(signal.SIGKILL)
    await cut


async def upgrade_host(fleet, host):
    """The next host of the old build is replaced by one of the new build."""
    old = [each for each in fleet.hosts if each.binary != fleet.options.binary]
    if not old or time.monotonic() < fleet.next_upgrade_at:
        return
    fleet.next_upgrade_at = time.monotonic() + UPGRADE_PERIOD_S
    old[0].binary = fleet.options.binary
    await terminate(fleet, old[0])


async def lose_all_hosts(fleet, host):
    """All hosts are killed at once, and with them what only hosts know."""
    if time.monotonic() < fleet.next_loss_at:
        return
    fleet.next_loss_at = time.monotonic() + LOSS_PERIOD_S
    await asyncio.gather(*(kill(fleet, each) for each in fleet.hosts))


# Played only if they are named, so that older seeds keep their faults.
FURTHER_FAULTS = [restore_store, silence_store, limit_upstream,
                  endless_upstream, say_leaving, turn_away, cut_hosts_off,
                  end_version, lose_all_hosts, change_version, upgrade_host,
                  join_out_of_step, change_routes, pause_upstream]

FAULTS = [terminate, kill, freeze, reload, cut_from_store, change_config,
          disturb_store, compact_store, foreign_entry, disturb_upstream,
          cut_upstream, crash_upstream, replace_upstream, burst_of_drafts]
