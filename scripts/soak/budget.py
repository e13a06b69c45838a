"""Bounds on retries: attempts a request, retries of the fleet, and deadlines."""

import asyncio
import bisect
import collections
import time

SERVICE_OF_KIND = {"safe": "app", "once": "app", "stream": "llm", "draft": "llm"}
MOST_ATTEMPTS = {"safe": 2, "once": 1, "stream": 3, "draft": 3}
DEADLINE_S = 4.0  # of each request
CONTACT_S = 3.0  # time after a disturbance in which no bound holds

# Requests that may run on more upstreams than their route's attempts.
TOLERATED_REQUESTS = 3

# A deadline that ends later than the caller's by this time is too long, and the
# number of these that is tolerated.
DEADLINE_TOLERANCE_S = 0.5
TOLERATED_DEADLINES = 20

# Period in which the soak looks how late it is itself, and what it takes for late.
LAG_PERIOD_S = 0.05
LEAST_LAG_S = 0.02
LAG_KEPT_S = 10.0

# Retries of the fleet for a service in each window, as in the hosts' settings.
WINDOW_S = 10
RETRY_RATIO = 0.2
ADDITIONAL_RETRIES = 54
STEP_S = 0.25


class Arrival:
    def __init__(self, upstream, now):
        self.upstream = upstream
        self.process = upstream.starts
        self.at = now

    def counts(self):
        """Upstreams that ended or were cut off meanwhile do not count."""
        return (self.upstream.starts == self.process and not self.upstream.down
                and self.upstream.cut_at < self.at - CONTACT_S)


class LoopLag:
    """How late the soak itself is. Answers without end, which it writes, can hold
    it up for over a second beside other load; requests arrive late then."""

    def __init__(self):
        self.late = collections.deque()  # (time, seconds)

    async def watch(self):
        while True:
            due = time.monotonic() + LAG_PERIOD_S
            await asyncio.sleep(LAG_PERIOD_S)
            now = time.monotonic()
            if now - due > LEAST_LAG_S:
                self.late.append((now, now - due))
            while self.late and self.late[0][0] < now - LAG_KEPT_S:
                self.late.popleft()

    def since(self, when):
        return sum(seconds for at, seconds in self.late if at >= when)


class BudgetWatch:
    def __init__(self):
        self.hosts = {}  # request id: host that it was sent to
        self.sent = {}  # request id: (time, kind, host), without probes
        self.requests = collections.defaultdict(list)  # service: times
        self.arrivals = collections.defaultdict(list)  # request id: arrivals
        self.retries = collections.defaultdict(list)  # service: times
        self.long_deadlines = 0
        self.lag = LoopLag()

    def on_sent(self, request_id, kind, host, now):
        self.hosts[request_id] = host
        if kind not in SERVICE_OF_KIND:
            return
        self.sent[request_id] = (now, kind, host)
        self.requests[SERVICE_OF_KIND[kind]].append(now)

    def host_disturbed(self, request_id):
        host = self.hosts.get(request_id)
        return host is not None and host.disturbed_within(CONTACT_S)

    def on_arrival(self, request_id, headers, upstream, now):
        if request_id not in self.sent:
            return
        sent_at, kind, host = self.sent[request_id]
        if self.arrivals[request_id]:
            self.retries[upstream.service].append(now)
        self.arrivals[request_id].append(Arrival(upstream, now))
        ends_at = now + float(headers.get("x-deadline-ms", "inf")) / 1000
        latest = (sent_at + DEADLINE_S + DEADLINE_TOLERANCE_S
                  + self.lag.since(sent_at))
        # A cut holds a request up on its way to the upstream.
        held_up = upstream.cut_at > now - CONTACT_S
        if (ends_at > latest and not held_up
                and not host.disturbed_within(CONTACT_S)):
            self.long_deadlines += 1

    def check(self, ledger):
        over = [request_id for request_id, arrivals in self.arrivals.items()
                if sum(arrival.counts() for arrival in arrivals)
                > MOST_ATTEMPTS[self.sent[request_id][1]]]
        if len(over) > TOLERATED_REQUESTS:
            ledger.violate("attempts", f"{len(over)} requests, such as {over[0]}")
        if self.long_deadlines > TOLERATED_DEADLINES:
            ledger.violate("deadline", f"{self.long_deadlines} arrivals")
        for service, times in self.retries.items():
            self.check_retries(ledger, service, times)

    def check_retries(self, ledger, service, times):
        start = times[0]
        while start <= times[-1]:
            retries = count(times, start)
            sent = self.requests[service.removesuffix("-b")]
            requests = max(count(sent, start - shift)
                           for shift in (0, WINDOW_S / 2, WINDOW_S))
            allowed = RETRY_RATIO * requests + ADDITIONAL_RETRIES
            if retries > allowed:
                return ledger.violate("repeats", f"{service}: {retries} of "
                                      f"{allowed:.0f} in a window")
            start += STEP_S


def count(times, start):
    """Number of sorted times in the window that begins at `start`."""
    return (bisect.bisect_left(times, start + WINDOW_S)
            - bisect.bisect_left(times, start))
