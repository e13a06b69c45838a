"""Bound on what an upstream that names a limit gets from the hosts that know it."""

import bisect

CONTACT_S = 3.0  # time after the first naming in which no bound holds
TOLD_S = 0.5  # time after which a host that passed the limit on knows it
WINDOW_S = 4.0
TOLERATED_RATIO = 1.5
TOLERATED_REQUESTS = 5

# Part of the limits that must be used where all upstreams of a service name one.
LEAST_USED = 0.4


class LimitWatch:
    """Limits that one process of an upstream names, and what it gets."""

    def __init__(self):
        self.named = []  # (time, requests a second or None)
        self.told = {}  # host: when it first passed the limit on
        self.arrivals = []  # (time, host, whether the host was disturbed)

    def name(self, limit, now):
        self.named.append((now, limit))

    def on_answer(self, host, now):
        self.told.setdefault(host, now)

    def on_arrival(self, host, now):
        if self.named:
            self.arrivals.append((now, host, host.disturbed_within(CONTACT_S)))

    def highest_limit(self, start, end):
        """Of those in force from some time in the window on; None: no limit."""
        limits = []
        for i, (at, limit) in enumerate(self.named):
            until = self.named[i + 1][0] if i + 1 < len(self.named) else end + 1
            if at <= end and until >= start:
                limits.append(limit)
        return None if None in limits else max(limits)

    def check(self, ledger, name):
        if not self.named:
            return
        bounded_from = self.named[0][0] + CONTACT_S
        times = [at for at, host, disturbed in self.arrivals
                 if not disturbed and host in self.told
                 and at > self.told[host] + TOLD_S]
        for first, start in enumerate(times):
            limit = self.highest_limit(start, start + WINDOW_S)
            if start < bounded_from or limit is None:
                continue
            arrivals = bisect.bisect_left(times, start + WINDOW_S) - first
            allowed = (TOLERATED_RATIO * limit * WINDOW_S
                       + TOLERATED_REQUESTS)
            if arrivals > allowed:
                return ledger.violate(
                    "limit", f"{name} named {limit} and got {arrivals} in "
                    f"{WINDOW_S:.0f} s, allowed {allowed:.0f}")


def check_use(ledger, upstreams, end):
    """Where all upstreams of a service name a limit from the start on."""
    for service in {upstream.service for upstream in upstreams}:
        named = [u for u in upstreams if u.service == service and u.limits.named]
        start = max(u.limits.named[0][0] for u in named) + CONTACT_S
        allowed = (end - start) * sum(u.limits.named[0][1] for u in named)
        used = sum(at >= start for u in named for at, _, _ in u.limits.arrivals)
        ledger.requests[f"limit_used_{service}"] = round(used / allowed, 2)
        if used < LEAST_USED * allowed:
            ledger.violate("limit_use", f"{service}: {used} of {allowed:.0f}")
