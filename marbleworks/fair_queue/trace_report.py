"""`door explain`: summarizes the admission decisions in a router's log, which it writes with `(trace on)`."""

from __future__ import annotations

import json
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator

MAX_TENANTS_LISTED = 20  # the tenants with the most decisions are listed
REASONS = ("passed", "queued", "let in", "kept", "early", "too late", "full", "left", "timed out", "stopping")


def explain_decisions(lines: Iterable[str], ref: str = "") -> Iterator[str]:
    """Summarizes the decisions by tenant, or lists those on one request.

    Args:
        lines: Lines of a router's log; those that are no admission decision are skipped.
        ref: Reference of a request; empty for the summary of all tenants.

    Yields:
        A line of text for each tenant, or for each decision on the request.
    """
    counts: dict[str, Counter[str]] = defaultdict(Counter)
    longest_wait: dict[str, float] = defaultdict(float)
    promised: dict[str, list[float]] = defaultdict(list)
    for line in lines:
        try:
            entry = json.loads(line)
        except ValueError:
            continue
        if not isinstance(entry, dict) or entry.get("event") != "door":
            continue
        reason, tenant, seconds = str(entry.get("why")), str(entry.get("member")), entry.get("seconds")
        if ref:
            if entry.get("ref") == ref:
                yield _describe(entry.get("timestamp", ""), tenant, reason, seconds)
            continue
        counts[tenant][reason] += 1
        if reason == "let in" and seconds is not None:
            longest_wait[tenant] = max(longest_wait[tenant], float(seconds))
        elif reason in ("too late", "full") and seconds is not None:
            promised[tenant].append(float(seconds))
    if not ref:
        by_decisions = sorted(counts, key=lambda name: -sum(counts[name].values()))
        for tenant in by_decisions[:MAX_TENANTS_LISTED]:
            parts = [f"{counts[tenant][reason]} {reason}" for reason in REASONS if counts[tenant][reason]]
            parts.append(f"longest wait {longest_wait[tenant]:.3f} s")
            if promised[tenant]:
                parts.append(
                    f"{len(promised[tenant])} promised, "
                    f"{min(promised[tenant]):.1f} to {max(promised[tenant]):.1f} s"
                )
            yield f"{tenant}: {', '.join(parts)}"
        if len(by_decisions) > MAX_TENANTS_LISTED:
            yield f"and {len(by_decisions) - MAX_TENANTS_LISTED} more tenants"


def _describe(timestamp: str, tenant: str, reason: str, seconds: object) -> str:
    description = {
        "passed": "admitted at once: no request was ahead of it and the concurrency limit had room",
        "queued": "waits in its tenant's queue",
        "let in": f"admitted in its turn after {seconds} s",
        "kept": "retried when it was told to and goes ahead of the queues",
        "early": f"retried before its time and was told the remaining {seconds} s",
        "too late": "would have missed its latency target behind the waiting requests; "
        + (
            f"retry promised after {seconds} s"
            if seconds is not None
            else "told the longest Retry-After, without a promise"
        ),
        "full": "the queues were full and its tenant had the most waiting work for its weight; "
        + (
            f"retry promised after {seconds} s"
            if seconds is not None
            else "told the longest Retry-After, without a promise"
        ),
        "left": "its client disconnected or cancelled it while it waited",
        "timed out": "its client's time ran out while it waited",
        "stopping": "the router stopped",
    }.get(reason, reason)
    return f"{timestamp}  {tenant}: {description}"
