"""Hosts that are cut from all upstreams must serve like the others."""

import asyncio
import time

CUT_MODES = ("refuse", "reset", "hang")

# Time after the beginning of a cut from which on the callers of the hosts that are
# cut off must be served like those of the others.
FOUND_S = 1.0

# Time after a cut in which the next one does not begin.
CALM_S = 4.0

# Period in which it is looked whether any host could serve for those that are cut
# off, and the time around a moment without any in which requests do not count.
LOOK_S = 0.05
HELPLESS_S = 1.0

# Part of the others' share that the share of the hosts that are cut off must reach.
LEAST_SHARE = 0.9
LEAST_REQUESTS = 30


class CutWatch:
    def __init__(self):
        self.cuts = []  # (begin, end, hosts)
        self.helpless = []  # times at which no host could serve for those cut off

    def on_cut(self, hosts, now, seconds):
        self.cuts.append((now, now + seconds, set(hosts)))

    def is_helpless(self, now):
        return any(abs(now - at) < HELPLESS_S for at in self.helpless)

    async def watch_helpers(self, hosts):
        """Looks out for hosts that reach upstreams, until the cut ends."""
        _, end, cut = self.cuts[-1]
        while time.monotonic() < end:
            if not any(host not in cut and host.serves() for host in hosts):
                self.helpless.append(time.monotonic())
            await asyncio.sleep(LOOK_S)

    def running(self, now):
        return bool(self.cuts) and now < self.cuts[-1][1] + CALM_S

    def check(self, ledger):
        served = {True: [], False: []}  # by whether the host was cut off
        for request_id, (sent_at, _, host) in ledger.budget.sent.items():
            if request_id in ledger.versions.first:
                continue  # a take is no first try, and is checked for itself
            if request_id not in ledger.to_calm_host:
                continue
            for begin, end, hosts in self.cuts:
                if (begin + FOUND_S <= sent_at < end and request_id in ledger.served
                        and not self.is_helpless(sent_at)):
                    served[host in hosts].append(ledger.served[request_id])
        if not self.cuts:
            return
        shares = {cut: sum(of) / max(1, len(of)) for cut, of in served.items()}
        ledger.requests["served_of_cut"] = round(shares[True], 3)
        ledger.requests["served_of_others"] = round(shares[False], 3)
        if (len(served[True]) >= LEAST_REQUESTS
                and shares[True] < LEAST_SHARE * shares[False]):
            ledger.violate("cut_off", f"{shares[True]:.3f} of {len(served[True])} "
                           "requests were served at hosts that were cut off, "
                           f"{shares[False]:.3f} of {len(served[False])} at others")
