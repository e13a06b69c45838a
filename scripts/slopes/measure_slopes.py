"""Slopes of control cost; see scripts/measure-slopes.sh."""

import argparse
import json
import os
import time

from append_parts import part_changes, part_claims
from size_parts import (part_contracts, part_hosts, part_reports,
                        part_upstreams)
from traffic_parts import part_latency, part_sends, part_traffic

PARTS = {"hosts": part_hosts, "upstreams": part_upstreams,
         "reports": part_reports, "contracts": part_contracts,
         "changes": part_changes,
         "claims": part_claims, "sends": part_sends, "latency": part_latency,
         "traffic": part_traffic}


def main():
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
