"""`door explain`: what the door did with whom, from a router's log with `(trace on)`. Reads lines, decides
nothing."""

from __future__ import annotations

import json
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator

MOST_MEMBERS = 20  # are listed, those with most decisions first
WHYS = ("passed", "queued", "let in", "kept", "early", "too late", "full", "left", "timed out", "stopping")


def explained(lines: Iterable[str], ref: str = "") -> Iterator[str]:
    """A line for each member with what became of its commands, or for each decision on one command."""
    counts: dict[str, Counter[str]] = defaultdict(Counter)
    waited: dict[str, float] = defaultdict(float)
    told: dict[str, list[float]] = defaultdict(list)
    for line in lines:
        try:
            entry = json.loads(line)
        except ValueError:
            continue
        if not isinstance(entry, dict) or entry.get("event") != "door":
            continue
        why, member, seconds = str(entry.get("why")), str(entry.get("member")), entry.get("seconds")
        if ref:
            if entry.get("ref") == ref:
                yield _said(entry.get("timestamp", ""), member, why, seconds)
            continue
        counts[member][why] += 1
        if why == "let in" and seconds is not None:
            waited[member] = max(waited[member], float(seconds))
        elif why in ("too late", "full") and seconds is not None:
            told[member].append(float(seconds))
    if not ref:
        heavy = sorted(counts, key=lambda name: -sum(counts[name].values()))
        for member in heavy[:MOST_MEMBERS]:
            parts = [f"{counts[member][why]} {why}" for why in WHYS if counts[member][why]]
            parts.append(f"longest wait {waited[member]:.3f} s")
            if told[member]:
                parts.append(
                    f"{len(told[member])} promised, {min(told[member]):.1f} to {max(told[member]):.1f} s"
                )
            yield f"{member}: {', '.join(parts)}"
        if len(heavy) > MOST_MEMBERS:
            yield f"and {len(heavy) - MOST_MEMBERS} more members"


def _said(when: str, member: str, why: str, seconds: object) -> str:
    meaning = {
        "passed": "went straight through: nothing waited and the window had room",
        "queued": "waits in its member's queue",
        "let in": f"its turn came after {seconds} s",
        "kept": "came back when it was told to and goes ahead of the queues",
        "early": f"came before its time and was told the rest, {seconds} s",
        "too late": "could not be in time behind what waits; "
        + (f"promised {seconds} s" if seconds is not None else "told the longest time, nothing promised"),
        "full": "the queues were at their bound and its member the heaviest; "
        + (f"promised {seconds} s" if seconds is not None else "told the longest time, nothing promised"),
        "left": "its client left or called it off while it waited",
        "timed out": "ran out of its client's time while it waited",
        "stopping": "the router ended",
    }.get(why, why)
    return f"{when}  {member}: {meaning}"
