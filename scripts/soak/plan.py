"""What operators change of routes and teams, and what callers may then expect."""

import time

# Time after a change in which a host may still use the version before.
IN_FORCE_S = 3.0

# Service beside the one that a route begins with, and the team whose key comes
# and goes.
OTHER_SERVICE = {"app": "app-b", "llm": "llm-b"}
GUEST = ("guest", "key-guest")

TIMEOUTS_MS = (2500, 4000, 6000)
WEIGHTS = (0.1, 0.5, 1)
MAY_BE_DROPPED = ("safe", "draft", GUEST[0])


class Plan:
    def __init__(self, rng):
        self.rng = rng
        self.fields = {}  # route: fields that differ from the first version
        self.dropped = set()  # routes and teams that the newest version lacks
        self.spare = 0  # routes and services that no caller uses
        self.history = []  # (time, routes and teams it lacks, timeouts in ms)

    def apply(self, manifest):
        """Writes the changes into a manifest, which is sent now."""
        routes = [{**route, **self.fields.get(route["name"], {})}
                  for route in manifest["routes"]
                  if route["name"] not in self.dropped]
        for number in range(self.spare):
            manifest["services"].append({"name": f"spare-{number}"})
            routes.append({**routes[0], "name": f"spare-{number}",
                           "pathPrefix": f"/spare-{number}/",
                           "service": f"spare-{number}"})
        manifest["routes"] = routes
        manifest["tenants"] = [team for team in manifest["tenants"]
                               if team["name"] not in self.dropped]
        self.history.append((time.monotonic(), frozenset(self.dropped),
                             {route["name"]: route["timeoutMs"]
                              for route in routes}))
        return manifest

    def change(self, routes):
        """Changes one route of those that callers use, or what there is."""
        rng = self.rng
        name, (service, most_attempts) = rng.choice(sorted(routes.items()))
        fields = self.fields.setdefault(name, {})
        kind = rng.choice(["move", "split", "timeout", "attempts", "drop", "spare"])
        services = [service, OTHER_SERVICE[service]]
        if kind == "move":
            fields.pop("split", None)
            fields["service"] = rng.choice(services)
        elif kind == "split":
            fields["split"] = [{"service": each, "weight": rng.choice(WEIGHTS)}
                               for each in services]
        elif kind == "timeout":
            fields["timeoutMs"] = rng.choice(TIMEOUTS_MS)
        elif kind == "attempts":
            fields["attempts"] = rng.randint(1, most_attempts)
        elif kind == "drop":
            self.dropped = (set() if self.dropped
                            else {rng.choice(MAY_BE_DROPPED)})
        else:
            self.spare = rng.randint(0, 5)

    def in_force(self, since):
        """The versions that a host may have used since then."""
        before = [entry for entry in self.history if entry[0] <= since]
        return before[-1:] + [entry for entry in self.history if entry[0] > since]

    def allows(self, kind, team, since):
        return all(not {kind, team} & lacks for _, lacks, _ in self.in_force(since))

    def timeout_s(self, kind, since):
        """The shortest that may apply."""
        return min(timeouts.get(kind, TIMEOUTS_MS[0])
                   for _, _, timeouts in self.in_force(since)) / 1000
