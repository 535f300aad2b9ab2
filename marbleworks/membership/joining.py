"""Choice of a router's generation when it joins, and detection of a later process that has replaced it.

Generations are not stored on disk: a starting router asks the others for the last generation of its index
that they have seen. This module does no I/O and reads no clock.
"""

from __future__ import annotations

from marbleworks.membership.evidence import MAX_COUNTER_JUMP, MIN_CONFIRMATIONS

JOIN_TIMEOUT_S = 0.6  # a router joins without the replies that are missing then


class JoinReplies:
    """Replies to the join request of this router.

    Args:
        router_count: number of configured routers.
        now: current time, in seconds.
    """

    def __init__(self, router_count: int, now: float) -> None:
        self.router_count = router_count
        self.deadline = now + JOIN_TIMEOUT_S
        self.reported_generations: dict[int, int] = {}  # last generation of this router, keyed by replier
        self.replier_generations: dict[int, int] = {}  # generation of the replier itself, keyed by replier

    def add_reply(self, replier: int, reported_generation: int, replier_generation: int) -> None:
        """Records a reply; it replaces an earlier one of the same router."""
        self.reported_generations[replier] = reported_generation
        self.replier_generations[replier] = replier_generation

    def has_all_replies(self) -> bool:
        """Whether all other routers have replied."""
        return len(self.reported_generations) >= self.router_count - 1

    def last_generation(self) -> int:
        """Returns the last generation of this router according to the replies; 0 if there was none.

        The highest reported generation is accepted only if it is at most `MAX_COUNTER_JUMP` above the second
        highest, so that a single false reply cannot exhaust the range of generations.
        """
        reported = sorted(self.reported_generations.values(), reverse=True)
        if not reported:
            return 0
        second = reported[1] if len(reported) > 1 else 0
        return reported[0] if reported[0] <= second + MAX_COUNTER_JUMP else 0


class SupersessionReports:
    """Reports that a later process has the index of this router.

    Attributes:
        min_reporters: number of routers that have to report a newer generation.
        newer_generations: reported generations, keyed by reporter.
    """

    def __init__(self, router_count: int) -> None:
        self.min_reporters = min(MIN_CONFIRMATIONS, router_count - 1)
        self.newer_generations: dict[int, int] = {}

    def add_report(self, reporter: int, generation: int) -> None:
        """Records a reported generation that is newer than that of this router."""
        self.newer_generations[reporter] = generation

    def is_confirmed(self) -> bool:
        """Whether enough routers report a newer generation."""
        return len(self.newer_generations) >= self.min_reporters

    def skip_reported(self) -> int:
        """Returns the generation after the highest reported one and clears the reports."""
        generation = max(self.newer_generations.values()) + 1
        self.newer_generations.clear()
        return generation
