"""Upstreams, contracts and their records on the log."""

import hashlib

KEY = "slopes-key"
KEY_HASH = hashlib.sha256(KEY.encode()).hexdigest()


def unreachable_urls(count):
    return [f"http://127.254.{i // 250}.{1 + i % 250}:9" for i in range(count)]


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
