"""Slopes of control cost; see scripts/measure-slopes.sh.

All processes listen on loopback addresses drawn at random. Processor time is
read as time used by the control thread (whose id is that of the process), not as
wall time, so that other work on the machine disturbs it little.
"""

import argparse
import hashlib
import json
import os
import random
import re
import signal
import statistics
import subprocess
import sys
import tempfile
import threading
import time
import urllib.request

SECRET = "slopes-secret-0123456789"
OPERATOR_KEY = "slopes-operator"
DOMAINS = 13
DESIGN = {"hosts": 380, "upstreams": 4100, "contracts": 770,
          "changes_per_second": 4700 / 86400, "claims_per_second": 50}
KEY = "slopes-key"
KEY_HASH = __import__("hashlib").sha256(KEY.encode()).hexdigest()


def fetch(url, body=None, method=None, timeout=10, key=None):
    data = json.dumps(body).encode() if body is not None else None
    request = urllib.request.Request(url, data=data, method=method)
    if key:
        request.add_header("Authorization", "Bearer " + key)
    with urllib.request.urlopen(request, timeout=timeout) as answer:
        return answer.read()


class EngineFarm:
    """Answers load reports and cache events for many engines in one process."""

    def __init__(self, net, count):
        self.urls = [f"http://{net}.{10 + i // 200}.{1 + i % 200}:9000"
                     for i in range(count)]
        self.process = None
        if count:
            spec = json.dumps(self.urls)
            self.process = subprocess.Popen(
                [sys.executable, __file__, "--serve-engines"],
                stdin=subprocess.PIPE)
            self.process.stdin.write(spec.encode())
            self.process.stdin.close()

    def stop(self):
        if self.process:
            self.process.terminate()
            self.process.wait()


def serve_engines():
    import asyncio
    import resource
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    urls = json.load(sys.stdin)
    body = json.dumps({"running": 20, "waiting": 0, "max_batch": 64,
                       "tokens_per_second": 600.0, "report_age_ms": 100,
                       "models": ["m"]}).encode()
    events = b'{"events":[],"next":1}'

    async def serve(reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                answer = events if b"/cache/events" in head else body
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/"
                             b"json\r\nContent-Length: %d\r\n\r\n%s"
                             % (len(answer), answer))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def main():
        for url in urls:
            address = url[len("http://"):].split(":")[0]
            await asyncio.start_server(serve, address, 9000)
        await asyncio.Event().wait()

    asyncio.run(main())


class Fleet:
    """Stand-ins and hosts of one measurement."""

    def __init__(self, build):
        self.bin = os.path.join(os.path.abspath(build), "bin")
        self.dir = tempfile.TemporaryDirectory()
        self.net16 = f"127.{random.randint(20, 219)}"
        self.net = f"{self.net16}.1"
        self.processes = []
        self.hosts = []
        self.farm = None

    def __enter__(self):
        return self

    def __exit__(self, *ignored):
        for process in self.processes:
            process.send_signal(signal.SIGKILL)
        for process in self.processes:
            process.wait()
        if self.farm:
            self.farm.stop()
        self.dir.cleanup()

    def start(self, name, *arguments):
        with open(os.path.join(self.dir.name, name), "wb") as log:
            process = subprocess.Popen([os.path.join(self.bin, arguments[0]),
                                        *arguments[1:]], stdout=log, stderr=log)
        self.processes.append(process)
        return process

    def start_platform(self, appends=1000000):
        self.log = f"http://{self.net}.1:7000"
        self.list = f"http://{self.net}.2:7000"
        self.start("log", "teaselhill-log", "--name", "log", "--address",
                   f"{self.net}.1", "--port", "7000", "--appends-per-second",
                   str(appends))
        self.start("hostlist", "teaselhill-hostlist", "--name", "hostlist",
                   "--address", f"{self.net}.2", "--port", "7000")
        self.wait(self.log + "/v1/streams/config/records")
        self.wait(self.list + "/v1/hosts")

    def wait(self, url, seconds=20, key=None):
        end = time.monotonic() + seconds
        while True:
            try:
                return fetch(url, timeout=2, key=key)
            except OSError:
                if time.monotonic() > end:
                    raise
                time.sleep(0.05)

    def start_hosts(self, domains, *extra):
        """`domains` holds the failure domain of each host."""
        first = len(self.hosts)
        for i, domain in enumerate(domains):
            name = f"host-{first + i:03d}"
            self.hosts.append({"name": name, "domain": domain,
                               "address": f"{self.net}.{11 + first + i}"})
        peers = ",".join(f"{h['name']}={h['address']}={h['domain']}"
                         for h in self.hosts)
        for host in self.hosts[first:]:
            host["process"] = self.start(
                host["name"], "teaselhilld", "--host", host["name"],
                "--domain", host["domain"], "--address", host["address"],
                "--log-url", self.log, "--host-list-url", self.list,
                "--peer-secret", SECRET, "--peers", peers,
                "--operator-key-hashes",
                hashlib.sha256(OPERATOR_KEY.encode()).hexdigest(),
                "--log-level", "warning", *(extra or ("--traffic-threads", "1")))
        for host in self.hosts[first:]:
            self.wait(f"http://{host['address']}:8080/healthz")

    def publish_list(self, upstreams):
        hosts = [{"name": h["name"], "address": h["address"],
                  "domain": h["domain"], "region": "r1", "state": "live"}
                 for h in self.hosts]
        fetch(self.list + "/control/hosts",
              {"hosts": hosts, "upstreams": upstreams}, "PUT")

    def append(self, stream, records):
        for i in range(0, len(records), 500):
            fetch(f"{self.log}/v1/streams/{stream}/records",
                  {"records": records[i:i + 500]})

    def wait_applied(self, next_offset, seconds=60):
        end = time.monotonic() + seconds
        for host in self.hosts:
            while self.metrics(host).get("teaselhill_config_next_offset",
                                         0) < next_offset:
                if time.monotonic() > end:
                    raise TimeoutError("configuration is not in force")
                time.sleep(0.1)

    def metrics(self, host):
        text = self.wait(f"http://{host['address']}:8082/metrics",
                         key=OPERATOR_KEY).decode()
        values = {}
        for line in text.splitlines():
            match = re.match(r"^(teaselhill_\w+)(?:\{\w+=\"([^\"]*)\"\})? (\S+)$",
                             line)
            if match:
                name, label, value = match.groups()
                values[f"{name}:{label}" if label else name] = float(value)
        return values

    def sample(self, host):
        pid = host["process"].pid
        with open(f"/proc/{pid}/task/{pid}/schedstat") as stat:
            cpu = int(stat.read().split()[0]) / 1e9
        with open(f"/proc/{pid}/status") as status:
            rss = int(re.search(r"VmRSS:\s+(\d+)", status.read()).group(1))
        return {"at": time.monotonic(), "cpu": cpu, "rss_mb": rss / 1024,
                **self.metrics(host)}

    def measure(self, seconds, hosts=None, during=None):
        """Returns the rates of each host over `seconds`."""
        hosts = hosts or self.hosts
        before = [self.sample(h) for h in hosts]
        if during:
            during(seconds)
        else:
            time.sleep(seconds)
        rows = []
        for host, old in zip(hosts, before):
            new = self.sample(host)
            span = new["at"] - old["at"]
            row = {"core_percent": 100 * (new["cpu"] - old["cpu"]) / span,
                   "rss_mb": new["rss_mb"]}
            total = 0.0
            for key in new:
                if "bytes" not in key:
                    continue
                rate = (new[key] - old.get(key, 0)) / span
                row[key.replace("teaselhill_", "")] = rate
                if "payload" not in key:
                    total += rate
            row["bytes_per_second"] = total
            rows.append(row)
        return rows


def mean_row(rows):
    keys = {key for row in rows for key in row}
    return {key: statistics.fmean(row.get(key, 0) for row in rows)
            for key in keys}


def engines_of(count, urls, domain_of):
    return [{"name": f"engine-{i:04d}", "url": urls[i], "domain": domain_of(i),
             "kind": "engine", "models": ["m"]}
            for i in range(count)]


def change(change_id, kind, name, body, base=None):
    return {"format": 1, "change_id": change_id, "object": kind, "name": name,
            "action": "put", "author": "slopes", "base_revision": base,
            "body": body}


def contract(number, key_hash):
    return {"customer": f"customer-{number:04d}",
            "limits": {"requests_per_second": 400, "tokens_per_second": 60000,
                       "concurrency": 600},
            "teams": [{"name": "team", "key_hashes": [key_hash]}],
            "classes": [{"name": "draft", "tier": 0,
                         "target_first_token": "1800ms"},
                        {"name": "pull", "tier": 4}],
            "default_class": "draft", "models": ["m"], "services": []}


def configure(fleet, upstreams, contracts):
    """Publishes assignments, then contracts; returns the next offset."""
    records = [change(f"u{i}", "assignment", u["name"], u)
               for i, u in enumerate(upstreams)]
    records += [change(f"c{i}", "contract", f"customer-{i:04d}",
                       contract(i, f"{i:064x}" if i else KEY_HASH))
                for i in range(contracts)]
    fleet.append("config", records)
    return len(records) + 1


def unreachable_urls(count):
    return [f"http://127.254.{i // 250}.{1 + i % 250}:9" for i in range(count)]


def slope(points):
    """Least squares over (x, y)."""
    mx = statistics.fmean(x for x, _ in points)
    my = statistics.fmean(y for _, y in points)
    sxx = sum((x - mx) ** 2 for x, _ in points)
    b = sum((x - mx) * (y - my) for x, y in points) / sxx
    return my - b * mx, b


def summarize(part, unit, design, runs):
    """`runs` holds one list of (x, row) for each repeat."""
    result = {"unit": unit, "design": design, "slopes": {}}
    keys = sorted({key for run in runs for _, row in run for key in row})
    for key in keys:
        fits = [slope([(x, row.get(key, 0)) for x, row in run]) for run in runs]
        slopes = [b for _, b in fits]
        at_design = [a + b * design for a, b in fits]
        if max(abs(a) + abs(b) for a, b in fits) < 1e-9:
            continue
        result["slopes"][key] = {
            "per_unit": round(statistics.fmean(slopes), 6),
            "spread": [round(min(slopes), 6), round(max(slopes), 6)],
            "offset": round(statistics.fmean(a for a, _ in fits), 4),
            "at_design": round(statistics.fmean(at_design), 4)}
    for number, run in enumerate(runs):
        for x, row in run:
            figures = " ".join(f"{k}={row[k]:.3f}" for k in sorted(row)
                               if abs(row[k]) > 0.005)
            print(f"{part} repeat {number} {unit}={x:g}: {figures}", flush=True)
    return result


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


PARTS = {"hosts": part_hosts, "upstreams": part_upstreams,
         "reports": part_reports, "contracts": part_contracts,
         "changes": part_changes,
         "claims": part_claims, "sends": part_sends, "latency": part_latency,
         "traffic": part_traffic}


def main():
    if "--serve-engines" in sys.argv:
        serve_engines()
        return
    parser = argparse.ArgumentParser()
    parser.add_argument("--part", action="append", choices=sorted(PARTS))
    parser.add_argument("--repeats", type=int, default=1)
    parser.add_argument("--settle", type=float, default=12)
    parser.add_argument("--build", default=os.environ.get("BUILD_DIR", "build"))
    options = parser.parse_args()
    results = {"machine": {"cores": os.cpu_count(),
                           "load": os.getloadavg()[0]}}
    for name in options.part or PARTS:
        begin = time.monotonic()
        results[name] = PARTS[name](options)
        results[name]["seconds"] = round(time.monotonic() - begin, 1)
    print(json.dumps(results))


if __name__ == "__main__":
    main()
