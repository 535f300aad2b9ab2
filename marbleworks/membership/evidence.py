"""Which reports of other routers are believed. No I/O, no clock.

No single router can remove another: what we have not observed ourselves needs `MIN_CONFIRMATIONS` reporters.
"""

from __future__ import annotations

import math
from collections import deque

from marbleworks.membership.member_view import Member
from marbleworks.membership.messages import MemberState, MemberUpdate

MIN_CONFIRMATIONS = 2  # routers that have to report what we have not observed ourselves
MAX_COUNTER_JUMP = 1 << 16  # a generation or incarnation that jumps further is implausible
MIN_REFUTE_DELAY_S = 0.25  # when declared dead for the second time; doubles with each further time
MAX_REFUTE_DELAY_S = 8.0
FLAP_WINDOW_S = 60.0  # time for which being declared dead counts towards that delay
MAX_FLAPS = 16


def is_implausible(update: MemberUpdate, known: MemberUpdate) -> bool:
    """Whether a counter of the update jumps further than it can in good faith."""
    return (
        update.generation - known.generation > MAX_COUNTER_JUMP
        or update.incarnation - known.incarnation > MAX_COUNTER_JUMP
    )


def confirms_death(member: Member) -> bool:
    """Whether our own probe failed or enough routers report the member dead."""
    return member.probe_failed or len(member.accused_by) >= MIN_CONFIRMATIONS


def is_believed(member: Member, update: MemberUpdate, reporter: int) -> bool:
    """Notes a report that supersedes what is known; whether it is believed without a probe of our own.

    That another has restarted has to be reported by enough routers; that it has left by itself, or be
    confirmed like its death.
    """
    if update.generation > member.update.generation and not _confirms_restart(member, update, reporter):
        return False
    return update.state is not MemberState.LEFT or _confirms_leave(member, reporter)


def _confirms_restart(member: Member, update: MemberUpdate, reporter: int) -> bool:
    claims = member.claimed_generations
    claims[reporter] = update.generation
    return sum(claimed >= update.generation for claimed in claims.values()) >= MIN_CONFIRMATIONS


def _confirms_leave(member: Member, reporter: int) -> bool:
    if reporter == member.router or member.update.state is MemberState.DEAD:
        return True
    member.accused_by.add(reporter)
    return confirms_death(member)


def suspicion_timeout(base_s: float, group_size: int, local_health: int) -> float:
    """Seconds to refute; grows with the logarithm of the group and with our own local health."""
    size_factor = max(math.log10(max(group_size, 1)), 1.0)
    return base_s * size_factor * (1 + local_health / 2)


class RefuteTimer:
    """When to refute being declared dead: at once the first time, then with a delay that doubles.

    So a bad link does not make the group flap.
    """

    def __init__(self) -> None:
        self.due_at = math.inf
        self._declared_dead_at = deque[float](maxlen=MAX_FLAPS)

    def on_declared_dead(self, now: float) -> bool:
        """Starts the timer unless it runs already; whether to refute at once."""
        delay = self._delay(now)
        if math.isinf(self.due_at):
            self._declared_dead_at.append(now)
            self.due_at = now + delay
        if delay:
            return False
        self.due_at = math.inf
        return True

    def _delay(self, now: float) -> float:
        flaps = self._declared_dead_at
        while flaps and flaps[0] < now - FLAP_WINDOW_S:
            flaps.popleft()
        if not flaps:
            return 0.0
        return min(MIN_REFUTE_DELAY_S * 2.0 ** (len(flaps) - 1), MAX_REFUTE_DELAY_S)
