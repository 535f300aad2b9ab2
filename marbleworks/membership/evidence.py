"""Rules for accepting reports of other routers. This module does no I/O and reads no clock.

No single router can remove another: a failure that this router has not observed itself has to be reported by
`MIN_CONFIRMATIONS` routers.
"""

from __future__ import annotations

import math
from collections import deque

from marbleworks.membership.member_view import Member
from marbleworks.membership.messages import MemberState, MemberUpdate

MIN_CONFIRMATIONS = 2  # reporters needed for what this router has not observed itself
MAX_COUNTER_JUMP = 1 << 16  # a larger increase of a generation or incarnation is implausible
MIN_REFUTE_DELAY_S = 0.25  # applies to the second death report; doubles with each further one
MAX_REFUTE_DELAY_S = 8.0
FLAP_WINDOW_S = 60.0  # older death reports no longer count towards the refute delay
MAX_FLAPS = 16


def is_implausible(update: MemberUpdate, known: MemberUpdate) -> bool:
    """Whether a counter of the update is too far above the known one to be genuine."""
    return (
        update.generation - known.generation > MAX_COUNTER_JUMP
        or update.incarnation - known.incarnation > MAX_COUNTER_JUMP
    )


def is_death_confirmed(member: Member) -> bool:
    """Whether this router's own probe failed or enough routers report the member dead."""
    return member.probe_failed or len(member.death_reporters) >= MIN_CONFIRMATIONS


def is_accepted(member: Member, update: MemberUpdate, reporter: int) -> bool:
    """Records a report that supersedes the known update, and decides whether to accept it without a probe.

    A restart has to be reported by enough routers. A planned stop has to be reported by the member itself or
    confirmed in the same way as a death.

    Args:
        member: the router that the report is about, as known so far.
        update: the reported update.
        reporter: index of the router that sent the report.
    """
    if update.generation > member.update.generation and not _is_restart_confirmed(member, update, reporter):
        return False
    return update.state is not MemberState.LEFT or _is_leave_confirmed(member, reporter)


def _is_restart_confirmed(member: Member, update: MemberUpdate, reporter: int) -> bool:
    claims = member.claimed_generations
    claims[reporter] = update.generation
    return sum(claimed >= update.generation for claimed in claims.values()) >= MIN_CONFIRMATIONS


def _is_leave_confirmed(member: Member, reporter: int) -> bool:
    if reporter == member.router or member.update.state is MemberState.DEAD:
        return True
    member.death_reporters.add(reporter)
    return is_death_confirmed(member)


def suspicion_timeout(base_s: float, group_size: int, local_health: int) -> float:
    """Returns the time that a suspected member has to refute the suspicion, in seconds.

    It grows with the logarithm of the group's size, and with the local health counter, which is high when
    this router itself is slow.

    Args:
        base_s: timeout in a group of ten or fewer, in seconds.
        group_size: number of known members.
        local_health: local health counter of this router; 0 is healthy.
    """
    size_factor = max(math.log10(max(group_size, 1)), 1.0)
    return base_s * size_factor * (1 + local_health / 2)


class RefuteTimer:
    """Time at which this router refutes a report of its own death.

    The first report is refuted at once, each further one after a delay that doubles, so that a bad link does
    not make the membership flap.
    """

    def __init__(self) -> None:
        self.due_at = math.inf
        self._declared_dead_at = deque[float](maxlen=MAX_FLAPS)

    def on_declared_dead(self, now: float) -> bool:
        """Starts the timer unless it is running.

        Returns:
            Whether to refute at once.
        """
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
