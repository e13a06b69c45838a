"""Engines that fall over if they have to refuse many requests for want of room."""

import time

CONTACT_S = 3.0  # time after the first naming in which they still let many wait
WAITING = 1  # requests that each lets wait afterwards

# Falls that are tolerated: so many, and a part of the number of engines.
TOLERATED_FALLS = 2
TOLERATED_PART = 0.1

# Part of the engines' capacity that must be used while callers send more.
LEAST_USED = 0.7


class BrittleWatch:
    """One engine from the time on at which it says that it is brittle."""

    def __init__(self, refusals_per_second, slots):
        self.refusals_per_second = refusals_per_second
        self.slots = slots
        self.named_at = time.monotonic()
        self.refused = []  # times
        self.falls = 0
        self.open = 0
        self.busy_s = 0.0

    def bounds(self):
        return time.monotonic() > self.named_at + CONTACT_S

    def has_room(self):
        return not self.bounds() or self.open < self.slots + WAITING

    def on_refused(self):
        """Returns whether the engine falls."""
        now = time.monotonic()
        self.refused = [at for at in self.refused if at > now - 1] + [now]
        falls = len(self.refused) > self.refusals_per_second
        self.falls += falls
        return falls

    def on_served(self, began_at):
        bounded_from = max(began_at, self.named_at + CONTACT_S)
        self.busy_s += max(0.0, time.monotonic() - bounded_from)


def check(ledger, watches, end):
    falls = sum(watch.falls for watch in watches)
    capacity = sum(watch.slots * (end - watch.named_at - CONTACT_S)
                   for watch in watches)
    used = sum(watch.busy_s for watch in watches) / capacity
    ledger.requests["brittle_falls"] = falls
    ledger.requests["brittle_used"] = round(used, 3)
    if falls > TOLERATED_FALLS + TOLERATED_PART * len(watches):
        ledger.violate("falls", f"{falls} of {len(watches)} brittle engines")
    if used < LEAST_USED:
        ledger.violate("falls", f"{used:.2f} of the capacity was used")
