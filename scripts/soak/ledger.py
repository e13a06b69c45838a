"""What callers sent, what ran, and the promises that were broken."""

import collections
import time

from budget import BudgetWatch
from versions import CONTACT_S, VersionWatch

# Headers of callers that must not reach an upstream.
FORGED = ("x-kv-hold", "x-pin-ms", "x-kv-backup", "kv-from", "authorization")


class Ledger:
    def __init__(self):
        self.sent = {}  # request id: (kind, target, team, body)
        self.runs = collections.defaultdict(list)  # request id: times
        self.refused = set()  # non-idempotent, told that it was not run
        self.broken = collections.Counter()
        self.examples = []
        self.requests = collections.Counter()
        self.leaving_bound = 2.0
        self.priorities = {}  # kind of request: priority at the engines
        self.crashing = {}  # request id: watch of the crashing request
        self.budget = BudgetWatch()
        self.versions = VersionWatch()
        self.sent_at = {}  # request id: time
        self.left = set()  # ids of requests whose callers left at once
        self.to_calm_host = set()  # ids of requests to undisturbed hosts
        self.served = {}  # request id: whether it is; not those that left
        self.answers = []  # of innocent requests: (sent at, whether it is 200)

    def violate(self, promise, text):
        self.broken[promise] += 1
        if len(self.examples) < 20:
            self.examples.append(f"{promise}: {text}")

    def on_sent(self, request_id, kind, target, team, body, host):
        self.sent[request_id] = (kind, target, team, body)
        self.sent_at[request_id] = time.monotonic()
        if not host.disturbed_within(CONTACT_S):
            self.to_calm_host.add(request_id)
        self.budget.on_sent(request_id, kind, host, time.monotonic())

    def on_run(self, request_id, line, headers, body, upstream, now):
        self.runs[request_id].append(now)
        self.budget.on_arrival(request_id, headers, upstream, now)
        sent = self.sent.get(request_id)
        if sent is None:
            return self.violate("unasked", f"{request_id} was never sent")
        kind, target, team, expected = sent
        if line.split()[1] != target or body != expected:
            self.violate("unasked", f"{request_id} was changed: {line}")
        if headers.get("x-tenant") != team:
            self.violate("unasked", f"{request_id} has a wrong team")
        for name in FORGED:
            if name in headers:
                self.violate("unasked", f"{request_id} carries {name}")
        if (upstream.left_at and now > upstream.left_at + self.leaving_bound
                and not self.budget.host_disturbed(request_id)):
            self.violate("leaving", f"{request_id} reached {upstream.name} "
                         f"{now - upstream.left_at:.2f} s after it left")
        self.priorities[kind] = int(headers.get("x-request-priority", 5))
        if self.priorities.get("stream", 0) > self.priorities.get("draft", 9):
            self.violate("urgent", f"{request_id}: {self.priorities}")
        if kind == "once" and len(self.runs[request_id]) > 1:
            self.violate("twice", f"{request_id} ran again")
        if request_id in self.refused:
            self.violate("not_run", f"{request_id} ran after its refusal")

    def on_status(self, request_id, status, name=None):
        """Counts the status under `name`, or else under the kind of request."""
        kind = self.sent[request_id][0]
        self.requests[f"{name or kind}_{status}"] += 1
        self.served[request_id] = status == 200
        if name is None:
            self.answers.append((self.sent_at[request_id], status == 200))
        if status in (408, 421, 429, 503) and kind == "once":
            self.refused.add(request_id)
            if self.runs[request_id]:
                self.violate("not_run", f"{request_id} answered {status}, ran")
