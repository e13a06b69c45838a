"""Means and slopes of measured rows, and their values at the design size."""

import statistics

DESIGN = {"hosts": 380, "upstreams": 4100, "contracts": 770,
          "changes_per_second": 4700 / 86400, "claims_per_second": 50}


def mean_row(rows):
    keys = {key for row in rows for key in row}
    return {key: statistics.fmean(row.get(key, 0) for row in rows)
            for key in keys}


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
