"""SWIM failure detector of one router, with Lifeguard's local health. No I/O, no clock.

It joins the group, probes, suspects, declares dead and refutes; `tick` and `receive` return the messages to
send, and the view's `changes` are drained by the caller. Times are float seconds of one monotonic clock.
docs/design/peers.md has the reasons.
"""

from __future__ import annotations

import math

from marbleworks.membership.evidence import (
    MAX_COUNTER_JUMP,
    RefuteTimer,
    confirms_death,
    is_believed,
    is_implausible,
    suspicion_timeout,
)
from marbleworks.membership.gossip import GossipQueue
from marbleworks.membership.joining import Joining, Succession
from marbleworks.membership.member_view import Member, MemberChange, MemberView
from marbleworks.membership.messages import MemberState, MemberUpdate, Message, MessageType, OutgoingMessage
from marbleworks.membership.prober import Probe, Prober

MAX_LOCAL_HEALTH = 8  # the local health multiplier, less one; 0 is healthy
PAUSE_HEALTH_PENALTY = 2
PAUSE_DETECTION_S = 0.5  # a tick that is later than this means that the process was paused
JOIN_RETRY_PERIODS = 0.5
LEAVE_REPEATS = 2  # datagrams get lost


class FailureDetector:
    """The group as one router sees it.

    Args:
        router_index: index of this router among the configured ones.
        router_count: number of configured routers.
        seed: of the random choices of targets.
        now: the present.
        probe_interval_s: time between probes.
        suspicion_timeout_s: time to refute a suspicion in a group of ten or fewer.
    """

    def __init__(
        self,
        router_index: int,
        router_count: int,
        seed: int,
        now: float,
        probe_interval_s: float,
        suspicion_timeout_s: float,
    ) -> None:
        self.router_index = router_index
        self.router_count = router_count
        self.probe_interval_s = probe_interval_s
        self.suspicion_timeout_s = suspicion_timeout_s
        self.generation = 0
        self.incarnation = 0
        self.joined = False
        self.superseded = False  # a later process has our index: we take no part any more
        self.leaving = False
        self.local_health = 0
        self.implausible_updates = 0
        self.view = MemberView(router_index)
        self.gossip = GossipQueue(self.view)
        self.prober = Prober(self.view, router_count, seed, probe_interval_s)
        self._joining = Joining(router_count, now)
        self._succession = Succession(router_count)
        self._refute_timer = RefuteTimer()
        self._next_probe_at = now

    def next_due(self) -> float:
        """When `tick` is to be called next."""
        suspicions = [member.suspicion_deadline for member in self.view.members.values()]
        return min([self._next_probe_at, self._refute_timer.due_at, *self.prober.deadlines(), *suspicions])

    def tick(self, now: float) -> list[OutgoingMessage]:
        """Does what is due: joining, timeouts of probes and suspicions, the next probe."""
        if self.superseded:
            self._next_probe_at = now + self.probe_interval_s
            return []
        if not self.joined:
            return self._join(now)
        lateness = now - self.next_due()
        if lateness > PAUSE_DETECTION_S:
            self._on_paused(lateness, now)
        if now >= self._refute_timer.due_at:
            self._refute_timer.due_at = math.inf
            self._refute()
        outgoing = self._check_probes(now)
        self._check_suspicions(now)
        if now >= self._next_probe_at:
            self._next_probe_at = now + self.probe_interval_s
            self.prober.expire_relays(now)
            outgoing += self._start_probes(now)
        return outgoing

    def leave(self, now: float) -> list[OutgoingMessage]:
        """A planned stop: tells all live members at once."""
        self.leaving = True
        if not self.joined or self.superseded:
            return []
        left = MemberUpdate(self.generation, self.incarnation, MemberState.LEFT, self.router_index)
        self._record(left, "we stop as planned", now)
        message = Message(MessageType.LEAVE, self.generation)
        return [
            OutgoingMessage(router, message)
            for router in self.view.alive_routers()
            if router != self.router_index
        ] * LEAVE_REPEATS

    # Joining.

    def _join(self, now: float) -> list[OutgoingMessage]:
        """Asks for our last generation until all have replied or the time is over, then takes the next."""
        if now >= self._joining.deadline or self._joining.has_all_replies():
            return self._finish_join(now)
        retry_at = now + self.probe_interval_s * JOIN_RETRY_PERIODS
        self._next_probe_at = min(retry_at, self._joining.deadline)
        return [
            OutgoingMessage(router, Message(MessageType.JOIN, 0))
            for router in self.prober.others()
            if router not in self._joining.reported_generations
        ]

    def _finish_join(self, now: float) -> list[OutgoingMessage]:
        self.generation = self._joining.last_generation() + 1
        self.joined = True
        self._next_probe_at = now
        self._record_own_start("we start", now)
        for router, generation in self._joining.replier_generations.items():
            if 1 <= generation <= MAX_COUNTER_JUMP:
                alive = MemberUpdate(generation, 0, MemberState.ALIVE, router)
                self._record(alive, "answered our join", now)
        return [OutgoingMessage(router, self._message(MessageType.PING)) for router in self.prober.others()]

    def _record_own_start(self, cause: str, now: float) -> None:
        alive = MemberUpdate(self.generation, self.incarnation, MemberState.ALIVE, self.router_index)
        self._record(alive, cause, now)

    # Timeouts.

    def _on_paused(self, lateness: float, now: float) -> None:
        """Moves all deadlines by the pause: silence while we stood still proves nothing about others."""
        self.local_health = min(self.local_health + PAUSE_HEALTH_PENALTY, MAX_LOCAL_HEALTH)
        self.prober.probes.clear()
        for member in self.view.members.values():
            member.suspicion_deadline += lateness
        self._next_probe_at = now

    def _check_probes(self, now: float) -> list[OutgoingMessage]:
        """Asks helpers for probes that are late, and suspects the target of those that failed."""
        outgoing: list[OutgoingMessage] = []
        for probe in list(self.prober.probes.values()):
            if not probe.indirect and now >= probe.indirect_at:
                probe.indirect = True
                for helper in self.prober.helpers(probe.target):
                    request = self._message(MessageType.INDIRECT_PROBE, probe.sequence, probe.target)
                    outgoing.append(OutgoingMessage(helper, request))
            elif probe.indirect and now >= probe.expires_at:
                self._on_probe_failed(probe, now)
        return outgoing

    def _on_probe_failed(self, probe: Probe, now: float) -> None:
        del self.prober.probes[probe.sequence]
        self.local_health = min(self.local_health + 1, MAX_LOCAL_HEALTH)
        member = self.view.members.get(probe.target)
        if member is None or not member.is_alive:
            return
        member.probe_failed = True
        if member.update.state is MemberState.ALIVE:
            self._record(member.update_with(MemberState.SUSPECT), "no direct or indirect ack", now)

    def _check_suspicions(self, now: float) -> None:
        """Declares dead whose suspicion has ended, if we missed it ourselves or enough others did."""
        overdue = [member for member in self.view.members.values() if now >= member.suspicion_deadline]
        for member in overdue:
            member.suspicion_deadline = math.inf
            if confirms_death(member):
                self._record(member.update_with(MemberState.DEAD), "suspicion not refuted", now)
            else:  # accused by one router alone: we probe it ourselves
                self.prober.priority_targets.append(member.router)
                member.suspicion_deadline = now + self._suspicion_timeout()

    def _suspicion_timeout(self) -> float:
        return suspicion_timeout(self.suspicion_timeout_s, len(self.view.members), self.local_health)

    def _start_probes(self, now: float) -> list[OutgoingMessage]:
        return [
            OutgoingMessage(
                probe.target, self._message_to(probe.target, MessageType.PING, probe.sequence, now)
            )
            for probe in self.prober.start_probes(now, self.local_health)
        ]

    def _message(self, message_type: MessageType, sequence: int = 0, subject: int = -1) -> Message:
        """A message with updates for any receiver."""
        updates = self.gossip.select(None, 0.0)
        return Message(message_type, self.generation, sequence, subject, self.view.digest, updates=updates)

    def _message_to(self, receiver: int, message_type: MessageType, sequence: int, now: float) -> Message:
        """A message with updates chosen for its receiver."""
        updates = self.gossip.select(receiver, now)
        return Message(message_type, self.generation, sequence, -1, self.view.digest, updates=updates)

    # Received messages.

    def receive(self, sender: int, message: Message, now: float) -> list[OutgoingMessage]:
        """Handles a message of another router; returns the answers."""
        if self.superseded or sender == self.router_index:
            return []
        if message.message_type is MessageType.JOIN_REPLY:
            return self._on_join_reply(sender, message, now)
        known = self.view.members.get(sender)
        known_generation = known.update.generation if known is not None else 0
        is_outdated = self.joined and message.generation < known_generation
        if message.message_type is MessageType.JOIN or is_outdated:
            reply = Message(MessageType.JOIN_REPLY, self.generation, sequence=known_generation)
            return [OutgoingMessage(sender, reply)]
        if not self.joined:
            return []
        if known is None or message.generation > known_generation:
            if message.generation - known_generation > MAX_COUNTER_JUMP or message.generation < 1:
                self.implausible_updates += 1
                return []
            started = MemberUpdate(message.generation, 0, MemberState.ALIVE, sender)
            self._record(started, "it started", now)
        member = self.view.members[sender]
        member.observe_digest(message.view_digest, self.view.digest, now)
        for update in message.updates:
            self._apply_update(update, sender, now)
        return self._dispatch(member, message, now)

    def _dispatch(self, sender: Member, message: Message, now: float) -> list[OutgoingMessage]:
        """Answers a message whose updates have been applied."""
        router = sender.router
        message_type = message.message_type
        if message_type is MessageType.PING:
            ack = self._message_to(router, MessageType.ACK, message.sequence, now)
            return [OutgoingMessage(router, ack)]
        if message_type is MessageType.ACK:
            return self._on_ack(router, message.sequence, now)
        if message_type is MessageType.INDIRECT_PROBE:
            return self._relay_probe(router, message, now)
        if message_type is MessageType.INDIRECT_ACK:
            self._on_probe_answered(message.sequence, message.subject, now)
        elif message_type is MessageType.LEAVE:
            left = MemberUpdate(message.generation, sender.update.incarnation, MemberState.LEFT, router)
            self._record(left, "planned stop", now)
        return []

    def _on_join_reply(self, sender: int, message: Message, now: float) -> list[OutgoingMessage]:
        if self.joined:
            self._on_newer_generation(sender, message.sequence, now)
            return []
        self._joining.add_reply(sender, message.sequence, message.generation)
        return self._join(now) if self._joining.has_all_replies() else []

    def _relay_probe(self, requester: int, message: Message, now: float) -> list[OutgoingMessage]:
        target = message.subject
        if not 0 <= target < self.router_count or target in (self.router_index, requester):
            return []
        sequence = self.prober.add_relay(requester, message.sequence, now)
        if sequence is None:
            return []
        return [OutgoingMessage(target, self._message_to(target, MessageType.PING, sequence, now))]

    def _on_ack(self, sender: int, sequence: int, now: float) -> list[OutgoingMessage]:
        relay = self.prober.relays.pop(sequence, None)
        if relay is not None:
            ack = self._message(MessageType.INDIRECT_ACK, relay.sequence, sender)
            return [OutgoingMessage(relay.requester, ack)]
        self._on_probe_answered(sequence, sender, now)
        return []

    def _on_probe_answered(self, sequence: int, target: int, now: float) -> None:
        """A probe was answered, directly or through a helper."""
        probe = self.prober.probes.get(sequence)
        if probe is None or probe.target != target:
            return
        del self.prober.probes[sequence]
        self.local_health = max(self.local_health - 1, 0)
        member = self.view.members.get(target)
        if member is None:
            return
        member.last_answered_probe_at = max(member.last_answered_probe_at, probe.sent_at)
        member.probe_failed = False
        member.accused_by.clear()
        if member.update.state is MemberState.SUSPECT:  # it has to refute for the others still
            member.suspicion_deadline = now + self._suspicion_timeout()

    # Updates by gossip, which may be outdated or false.

    def _apply_update(self, update: MemberUpdate, reporter: int, now: float) -> None:
        if update.router == self.router_index:
            self._apply_update_of_self(update, reporter, now)
            return
        member = self.view.members.get(update.router)
        if member is None:
            if update.state is MemberState.ALIVE:  # a member once it has answered us
                self.prober.priority_targets.append(update.router)
            return
        if update <= member.update:
            return
        if is_implausible(update, member.update):
            self.implausible_updates += 1
            return
        is_restart = update.generation > member.update.generation
        if update.state is MemberState.DEAD and member.is_alive and not is_restart:
            self._on_declared_dead(member, update, reporter, now)
        elif is_believed(member, update, reporter):
            if update.state is MemberState.SUSPECT and member.update.state is MemberState.ALIVE:
                self.prober.priority_targets.append(update.router)
            self._record(update, f"reported by router {reporter}", now)
        else:
            self.prober.priority_targets.append(update.router)

    def _apply_update_of_self(self, update: MemberUpdate, reporter: int, now: float) -> None:
        if update.generation > self.generation:
            self._on_newer_generation(reporter, update.generation, now)
            return
        is_current = update.generation == self.generation
        if is_current and update.state is not MemberState.ALIVE and not self.leaving:
            self._on_accused(update, now)

    def _on_declared_dead(self, member: Member, update: MemberUpdate, reporter: int, now: float) -> None:
        """Another calls a live member dead: one report makes it suspected, and we probe it ourselves."""
        member.accused_by.add(reporter)
        if member.update.state is MemberState.ALIVE:
            suspect = MemberUpdate(update.generation, update.incarnation, MemberState.SUSPECT, update.router)
            self._record(suspect, f"router {reporter} reports it dead", now)
            self.prober.priority_targets.append(update.router)
        elif confirms_death(member):
            self._record(update, "suspicion of others not refuted", now)

    # Updates about ourselves.

    def _on_newer_generation(self, reporter: int, generation: int, now: float) -> None:
        """A later process has our index, says one router; once enough say so, this one is superseded."""
        if generation - self.generation > MAX_COUNTER_JUMP:
            self.implausible_updates += 1
            return
        if generation > self.generation:
            self._succession.add_report(reporter, generation)
        if self.superseded or not self._succession.is_confirmed():
            return
        if not self.view.was_ever_answered():
            # Nobody knows this generation: we started while nobody could be asked, and take the next one.
            self.generation = self._succession.skip_reported()
            self.incarnation = 0
            self._record_own_start("we start, after the generations that others report", now)
            return
        self.superseded = True
        cause = "a later process has our index"
        self.view.changes.append(MemberChange(self.router_index, generation, MemberState.DEAD, cause))

    def _on_accused(self, update: MemberUpdate, now: float) -> None:
        """Refutes being suspected at once, being declared dead when the timer allows."""
        if update.incarnation < self.incarnation:
            self.gossip.enqueue(self.router_index)  # the refutation has not arrived
            return
        if update.incarnation - self.incarnation > MAX_COUNTER_JUMP:
            self.implausible_updates += 1
            return
        self.incarnation = update.incarnation
        self.local_health = min(self.local_health + 1, MAX_LOCAL_HEALTH)
        if update.state is MemberState.SUSPECT:
            self._refute()
            return
        if self._refute_timer.on_declared_dead(now):
            self._refute()

    def _refute(self) -> None:
        self.incarnation += 1
        alive = MemberUpdate(self.generation, self.incarnation, MemberState.ALIVE, self.router_index)
        self.view.members[self.router_index].update = alive
        self.gossip.enqueue(self.router_index)

    def _record(self, update: MemberUpdate, cause: str, now: float) -> None:
        """Takes an update that we believe into the view, if it is new, and disseminates it."""
        transition = self.view.apply(update, cause, now)
        if transition is None:
            return
        self.gossip.enqueue(update.router)
        member = self.view.members[update.router]
        if update.state is not MemberState.SUSPECT:
            member.suspicion_deadline = math.inf
        elif transition.previous is not MemberState.SUSPECT:
            member.suspicion_deadline = now + self._suspicion_timeout()
        has_ended = update.state in (MemberState.DEAD, MemberState.LEFT)
        if transition.is_change and has_ended and update.router != self.router_index:
            self.prober.cancel_probes_of(update.router)
