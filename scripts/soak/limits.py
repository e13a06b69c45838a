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
        # (host, number of the naming): when it first passed this limit on
        self.told = {}
        self.arrivals = []  # (time, whether the host must keep the limit)
        self.all_arrivals = []  # times

    def name(self, limit, now):
        self.named.append((now, limit))

    def on_answer(self, host, now):
        self.told.setdefault((host, len(self.named)), now)

    def on_arrival(self, host, now):
        """A host that has not passed on the limit in force yet is not bound."""
        if not self.named:
            return
        self.all_arrivals.append(now)
        told = self.told.get((host, len(self.named)))
        self.arrivals.append((now, told is not None and now > told + TOLD_S
                              and not host.disturbed_within(CONTACT_S)))

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
        times = [at for at, bound in self.arrivals if bound]
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
        used = sum(start <= at < end for u in named
                   for at in u.limits.all_arrivals)
        ledger.requests[f"limit_used_{service}"] = round(used / allowed, 2)
        if used < LEAST_USED * allowed:
            ledger.violate("limit_use", f"{service}: {used} of {allowed:.0f}")
