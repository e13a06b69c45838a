"""Parts that vary the rate of records on the log."""

import random
import time

from configuration import change, configure, engines_of, unreachable_urls
from figures import DESIGN, mean_row, summarize
from fleet import Fleet


def part_changes(options):
    """Changes of assignments at the design number of upstreams and contracts."""
    runs = []
    for _ in range(options.repeats):
        run = []
        with Fleet(options.build) as fleet:
            fleet.start_platform()
            upstreams = engines_of(4100, unreachable_urls(4100),
                                   lambda i: f"d{1 + i % 12}")
            next_offset = configure(fleet, upstreams, 770)
            fleet.start_hosts(["d0"])
            fleet.wait_applied(next_offset)
            time.sleep(4)
            revision = {u["name"]: i + 1 for i, u in enumerate(upstreams)}
            state = {"next": next_offset, "at": 0}

            def publish(rate):
                def during(seconds):
                    begin = time.monotonic()
                    for i in range(int(rate * seconds)):
                        u = upstreams[state["at"] % len(upstreams)]
                        state["at"] += 1
                        u["draining"] = not u.get("draining", False)
                        fleet.append("config", [change(
                            f"x{state['next']}", "assignment", u["name"], u,
                            revision[u["name"]])])
                        revision[u["name"]] = state["next"]
                        state["next"] += 1
                        time.sleep(max(0, begin + (i + 1) / rate
                                       - time.monotonic()))
                    time.sleep(max(0, begin + seconds - time.monotonic()))
                return during

            for rate in (0, 2, 10, 50):
                row = mean_row(fleet.measure(6, during=publish(rate)))
                run.append((rate, row))
            fleet.wait_applied(state["next"])
        runs.append(run)
    return summarize("changes", "changes_per_second",
                     DESIGN["changes_per_second"], runs)


def part_claims(options):
    runs = []
    for _ in range(options.repeats):
        run = []
        with Fleet(options.build) as fleet:
            fleet.start_platform()
            fleet.start_hosts(["d0"])
            time.sleep(2)
            batch = [0]

            def publish(rate):
                def during(seconds):
                    begin = time.monotonic()
                    per_batch = max(1, rate // 50)
                    for i in range(int(rate * seconds / per_batch)):
                        batch[0] += 1
                        now = int(time.time() * 1000)
                        claims = [[f"{random.getrandbits(128):032x}",
                                   random.getrandbits(64), now, batch[0]]
                                  for _ in range(per_batch)]
                        fleet.append("claims", [
                            {"host": "stand-in", "incarnation": 1,
                             "batch": batch[0], "claims": claims,
                             "releases": []}])
                        time.sleep(max(0, begin + (i + 1) * per_batch / rate
                                       - time.monotonic()))
                    time.sleep(max(0, begin + seconds - time.monotonic()))
                return during

            for rate in (0, 50, 200, 500):
                run.append((rate, mean_row(fleet.measure(6,
                                                         during=publish(rate)))))
        runs.append(run)
    return summarize("claims", "claims_per_second",
                     DESIGN["claims_per_second"], runs)
