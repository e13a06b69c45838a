"""Hosts and stand-ins of a measurement, and what the hosts consume.

All processes listen on loopback addresses drawn at random. Processor time is
read as time used by the control thread (whose id is that of the process), not as
wall time, so that other work on the machine disturbs it little.
"""

import hashlib
import json
import os
import random
import re
import signal
import subprocess
import tempfile
import time
import urllib.request

SECRET = "slopes-secret-0123456789"
OPERATOR_KEY = "slopes-operator"


def fetch(url, body=None, method=None, timeout=10, key=None):
    data = json.dumps(body).encode() if body is not None else None
    request = urllib.request.Request(url, data=data, method=method)
    if key:
        request.add_header("Authorization", "Bearer " + key)
    with urllib.request.urlopen(request, timeout=timeout) as answer:
        return answer.read()


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
