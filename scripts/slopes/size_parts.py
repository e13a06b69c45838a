"""Parts that vary the size of an idle fleet or its configuration."""

import time

from configuration import configure, engines_of, unreachable_urls
from engine_farm import EngineFarm
from figures import DESIGN, mean_row, summarize
from fleet import Fleet

DOMAINS = 13


def part_hosts(options):
    runs = []
    for _ in range(options.repeats):
        run = []
        for count in (4, 30, 60):
            with Fleet(options.build) as fleet:
                fleet.start_platform()
                # Up to 29 hosts of one domain, as at the design size.
                fleet.start_hosts([f"d{i // 29}" for i in range(count)])
                fleet.publish_list([])
                time.sleep(6)
                run.append((count, mean_row(fleet.measure(6))))
        runs.append(run)
    return summarize("hosts", "hosts", DESIGN["hosts"], runs)


def part_upstreams(options):
    runs = []
    for _ in range(options.repeats):
        run = []
        for count in (0, 1500, 4100):
            with Fleet(options.build) as fleet:
                fleet.start_platform()
                own = -(-count // DOMAINS)
                fleet.farm = EngineFarm(fleet.net16, own)
                urls = fleet.farm.urls + unreachable_urls(count - own)
                upstreams = engines_of(
                    count, urls, lambda i: f"d{0 if i < own else 1 + i % 12}")
                next_offset = configure(fleet, upstreams, 0)
                fleet.start_hosts(["d0"])
                fleet.publish_list([{**{k: u[k] for k in
                                        ("name", "url", "domain", "kind")},
                                     "state": "live"} for u in upstreams])
                fleet.wait_applied(next_offset)
                # A snapshot is written up to 10 s after the configuration.
                time.sleep(options.settle)
                run.append((count, mean_row(fleet.measure(8))))
        runs.append(run)
    return summarize("upstreams", "upstreams", DESIGN["upstreams"], runs)


def part_reports(options):
    """Hosts of one domain with its 316 engines, without traffic."""
    runs = []
    for _ in range(options.repeats):
        run = []
        for count in (8, 29):
            with Fleet(options.build) as fleet:
                fleet.start_platform()
                fleet.farm = EngineFarm(fleet.net16, 316)
                upstreams = engines_of(316, fleet.farm.urls, lambda i: "d0")
                next_offset = configure(fleet, upstreams, 0)
                fleet.start_hosts(["d0"] * count)
                fleet.publish_list([])
                fleet.wait_applied(next_offset)
                time.sleep(options.settle)
                rows = fleet.measure(10)
                row = mean_row(rows)
                row["most_bytes_per_second"] = max(r["bytes_per_second"]
                                                   for r in rows)
                run.append((count, row))
        runs.append(run)
    return summarize("reports", "hosts_of_domain", 29, runs)


def part_contracts(options):
    runs = []
    for _ in range(options.repeats):
        run = []
        for count in (1, 100, 770, 5000):
            with Fleet(options.build) as fleet:
                fleet.start_platform()
                upstreams = engines_of(4, unreachable_urls(4), lambda i: "d1")
                next_offset = configure(fleet, upstreams, count)
                fleet.start_hosts(["d0"])
                fleet.wait_applied(next_offset)
                time.sleep(2)
                run.append((count, mean_row(fleet.measure(4))))
        runs.append(run)
    return summarize("contracts", "contracts", DESIGN["contracts"], runs)
