"""Parts that send requests through the hosts."""

import json
import os
import statistics
import subprocess
import threading
import time

from configuration import KEY, configure, engines_of
from figures import mean_row, summarize
from fleet import Fleet


def start_engines(fleet, count, **flags):
    upstreams = []
    for i in range(count):
        address = f"{fleet.net16}.9.{1 + i}"
        arguments = [x for k, v in flags.items()
                     for x in ("--" + k.replace("_", "-"), str(v))]
        fleet.start(f"engine-{i}", "teaselhill-engine", "--name",
                    f"engine-{i:04d}", "--address", address, "--port", "9000",
                    "--models", "m", *arguments)
        upstreams.append(f"http://{address}:9000")
        fleet.wait(upstreams[-1] + "/v1/load")
    return engines_of(count, upstreams, lambda i: "d0")


def bench(fleet, urls, streams, seconds, tokens=20, think_ms=0, key=True):
    output = subprocess.run(
        [os.path.join(fleet.bin, "teaselhill-bench"), "--url", *urls,
         "--model", "m", "--tokens", str(tokens), "--streams", str(streams),
         "--seconds", str(seconds), "--think-ms", str(think_ms)]
        + (["--key", KEY] if key else []), capture_output=True, check=False,
        text=True)
    for line in reversed(output.stdout.splitlines()):
        if line.startswith("{"):
            return json.loads(line)
    raise RuntimeError("no result of the bench: " + output.stderr)


def part_sends(options):
    """Hosts of one domain under traffic: bytes against the number of hosts."""
    runs = []
    for _ in range(options.repeats):
        run = []
        for count in (6, 24):
            with Fleet(options.build) as fleet:
                fleet.start_platform()
                upstreams = start_engines(fleet, 8, token_ms=20, max_batch=64)
                next_offset = configure(fleet, upstreams, 1)
                fleet.start_hosts(["d0"] * count)
                fleet.publish_list([])
                fleet.wait_applied(next_offset)
                time.sleep(5)
                urls = [f"http://{h['address']}:8080" for h in fleet.hosts]
                answers = []

                def during(seconds):
                    # About 5 requests/s a host.
                    answers.append(bench(fleet, urls, 3 * count, seconds,
                                         tokens=10, think_ms=400))

                row = mean_row(fleet.measure(6, during=during))
                row["answers_per_second"] = answers[0]["answers"] / 6 / count
                run.append((count, row))
        runs.append(run)
    return summarize("sends", "hosts_of_domain", 29, runs)


def part_latency(options):
    """First token through a host against the engine alone."""
    result = {"unit": "ms", "rows": []}
    for repeat in range(options.repeats):
        with Fleet(options.build) as fleet:
            fleet.start_platform()
            upstreams = start_engines(fleet, 2, token_ms=20, max_batch=64)
            next_offset = configure(fleet, upstreams, 1)
            fleet.start_hosts(["d0"])
            fleet.publish_list([])
            fleet.wait_applied(next_offset)
            time.sleep(5)
            engines = [u["url"] for u in upstreams]
            direct = bench(fleet, engines, 24, 6, tokens=10, think_ms=300,
                           key=False)
            routed = {}

            def during(seconds):
                routed.update(bench(
                    fleet, [f"http://{fleet.hosts[0]['address']}:8080"], 24,
                    seconds, tokens=10, think_ms=300))

            row = mean_row(fleet.measure(6, during=during))
            result["rows"].append(
                {"direct": direct, "routed": routed,
                 "control_core_percent": round(row["core_percent"], 3)})
            print(f"latency repeat {repeat}: {result['rows'][-1]}", flush=True)
    for quantile in ("p50", "p99"):
        name = f"first_token_ms_{quantile}"
        added = [r["routed"][name] - r["direct"][name] for r in result["rows"]]
        result[f"added_{name}"] = {"mean": round(statistics.fmean(added), 3),
                                   "spread": [round(min(added), 3),
                                              round(max(added), 3)]}
    return result


def part_traffic(options):
    """Control time against open streams of 290 tokens at 29 ms."""
    runs = []
    for _ in range(options.repeats):
        run = []
        with Fleet(options.build) as fleet:
            fleet.start_platform()
            upstreams = start_engines(fleet, 8, token_ms=29, max_batch=64)
            next_offset = configure(fleet, upstreams, 1)
            fleet.start_hosts(["d0"], "--traffic-threads", "2")
            fleet.publish_list([])
            fleet.wait_applied(next_offset)
            time.sleep(5)
            url = f"http://{fleet.hosts[0]['address']}:8080"
            for streams in (0, 400):
                answers = {}

                def load():
                    answers.update(bench(fleet, [url], streams, 19, tokens=290))

                thread = threading.Thread(target=load)
                if streams:
                    thread.start()
                time.sleep(6)
                row = mean_row(fleet.measure(10))
                if streams:
                    thread.join()
                    row["tokens_per_second"] = answers["events_per_second"]
                run.append((streams, row))
        runs.append(run)
    return summarize("traffic", "open_streams", 400, runs)
