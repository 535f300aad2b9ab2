"""Which generation a router takes when it joins, and when a later process has replaced it. No I/O, no clock.

There is no disk: a router asks the others which generation of its index they saw last.
"""

from __future__ import annotations

from marbleworks.membership.evidence import MAX_COUNTER_JUMP, MIN_CONFIRMATIONS

JOIN_TIMEOUT_S = 0.6


class Joining:
    """The replies to our join, by the router that sent them."""

    def __init__(self, router_count: int, now: float) -> None:
        self.router_count = router_count
        self.deadline = now + JOIN_TIMEOUT_S
        self.reported_generations: dict[int, int] = {}  # the last of ours that it saw
        self.replier_generations: dict[int, int] = {}  # its own

    def add_reply(self, replier: int, reported_generation: int, replier_generation: int) -> None:
        """Notes a reply; a later one of the same router replaces it."""
        self.reported_generations[replier] = reported_generation
        self.replier_generations[replier] = replier_generation

    def has_all_replies(self) -> bool:
        """Whether all other routers have replied."""
        return len(self.reported_generations) >= self.router_count - 1

    def last_generation(self) -> int:
        """Our last generation by the replies; 0 where there was none.

        The highest counts if it is within reach of the second highest, so that one false reply alone does not
        use the numbers up.
        """
        reported = sorted(self.reported_generations.values(), reverse=True)
        if not reported:
            return 0
        second = reported[1] if len(reported) > 1 else 0
        return reported[0] if reported[0] <= second + MAX_COUNTER_JUMP else 0


class Succession:
    """Reports that a later process has our index: generations after ours, by reporter."""

    def __init__(self, router_count: int) -> None:
        self.min_reporters = min(MIN_CONFIRMATIONS, router_count - 1)
        self.newer_generations: dict[int, int] = {}

    def add_report(self, reporter: int, generation: int) -> None:
        """Notes a generation after ours."""
        self.newer_generations[reporter] = generation

    def is_confirmed(self) -> bool:
        """Whether enough routers report one."""
        return len(self.newer_generations) >= self.min_reporters

    def skip_reported(self) -> int:
        """The generation after all that were reported, which are forgotten."""
        generation = max(self.newer_generations.values()) + 1
        self.newer_generations.clear()
        return generation
