"""What an upstream says of itself in its answers: that it leaves, or that a host is to
wait. Each host is bound by what it was answered, also where it serves a request of
another host."""

import dataclasses

LEAVING_BOUND_S = 2.0  # time in which a host that passed the notice on must stop
START_BOUND_S = 1.0  # time in which a host that starts must know what others were told
WAIT_FROM_S = 0.5  # time after which a host that was told to wait must do so
SURE_TELLINGS = 3  # a host may not have read an answer whose caller left
MOST_EARLY = 2  # arrivals that are tolerated before the end of a wait
CONTACT_S = 3.0


def process_of(host):
    """A host that starts again knows of no notices before."""
    return host, host.incarnation


@dataclasses.dataclass
class Wait:
    request_id: str  # whose refusal told the host
    told_at: float
    ends_at: float
    early: int = 0  # arrivals before the end


class NoticeWatch:
    """Notices of one process of an upstream, and what arrives in spite of them."""

    def __init__(self):
        self.leaving = False
        self.wait_s = None  # named in each refusal
        self.leaving_told = {}  # process of a host: time
        self.tellings = 0  # answers that said so
        self.known_at = None  # when the hosts must have told each other
        self.waits = {}  # process of a host: Wait
        self.leaving_late = 0
        self.most_early = 0

    def headers(self, host, now):
        """Headers of an answer to the host."""
        if not self.leaving:
            return {}
        self.leaving_told.setdefault(process_of(host), now)
        self.tellings += 1
        if self.tellings == SURE_TELLINGS:
            self.known_at = now
        return {"Server-Leaving": 1}

    def refuse(self, host, request_id, left, now):
        """Headers of a refusal; nothing if the host is not to wait. `left`: ids of
        requests whose callers left, so that the host may not have read the refusal."""
        if self.wait_s is None:
            return None
        wait = self.waits.get(process_of(host))
        if wait is None or now >= wait.ends_at or wait.request_id in left:
            self.waits[process_of(host)] = Wait(request_id, now, now + self.wait_s)
        return {"X-Not-Run": 1, "Retry-After": self.wait_s}

    def on_arrival(self, host, sent_at, left, now):
        if host.disturbed_within(CONTACT_S):
            return
        if sent_at > self.latest_send(host):
            self.leaving_late += 1
        wait = self.waits.get(process_of(host))
        if (wait and wait.told_at + WAIT_FROM_S < now < wait.ends_at
                and wait.request_id not in left):
            wait.early += 1
            self.most_early = max(self.most_early, wait.early)

    def latest_send(self, host):
        """Time up to which the host may send requests here."""
        told_at = self.leaving_told.get(process_of(host))
        if told_at is not None:
            return told_at + LEAVING_BOUND_S
        # The others tell a host that starts later.
        if (self.known_at and host.asks_others
                and host.started_at > self.known_at):
            return host.started_at + START_BOUND_S
        return float("inf")

    def check(self, ledger, name):
        ledger.requests["arrivals_leaving"] += self.leaving_late
        ledger.requests["most_early"] = max(ledger.requests["most_early"],
                                            self.most_early)
        if self.leaving_late:
            ledger.violate("leaving", f"{name} got {self.leaving_late} requests "
                           "after it said that it leaves")
        if self.most_early > MOST_EARLY:
            ledger.violate("wait", f"{name} got {self.most_early} requests of a "
                           "host that was to wait")
