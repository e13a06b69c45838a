"""Prompts of generation requests: lists of parts, of which the last is their own."""

KINDS = ("stream", "draft")
POPULAR_PARTS = 3
SUBJECTS = 60


def part(number, tokens):
    return f"{number:x}:{tokens}"


def own_part(rng):
    return part(rng.getrandbits(47) | 1 << 47, rng.randint(20, 400))


def sound_parts(rng):
    """A part that many callers use, and a subject that few ask for."""
    return [part(0xa0 + rng.randrange(POPULAR_PARTS), 130),
            part(0xb00 + rng.randrange(SUBJECTS), 40)]


def headers(kind, parts):
    """Headers of a request with these parts."""
    if kind not in KINDS:
        return {}
    tokens = sum(int(each.split(":")[1]) for each in parts)
    return {"X-Model": "m", "X-Token-Counts": f"{tokens},60",
            "X-Prompt-Prefix": ",".join(parts)}
