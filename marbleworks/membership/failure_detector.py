"""SWIM failure detector of one router, with Lifeguard's local health. It does no I/O and reads no clock.

It joins the group, probes other routers, suspects them, declares them dead and refutes reports about itself.
`tick` and `receive` return the messages to send; the caller drains `changes` of the view. Times are float
seconds of one monotonic clock. docs/design/membership.md explains the design.
"""

from __future__ import annotations

import math

from marbleworks.membership.evidence import (
    MAX_COUNTER_JUMP,
    RefuteTimer,
    is_accepted,
    is_death_confirmed,
    is_implausible,
    suspicion_timeout,
)
from marbleworks.membership.gossip import GossipQueue
from marbleworks.membership.joining import JoinReplies, SupersessionReports
from marbleworks.membership.member_view import Member, MemberChange, MemberView
from marbleworks.membership.messages import MemberState, MemberUpdate, Message, MessageType, OutgoingMessage
from marbleworks.membership.prober import Probe, Prober

MAX_LOCAL_HEALTH = 8  # the local health multiplier is the counter plus one; 0 is healthy
PAUSE_HEALTH_PENALTY = 2  # added to the local health counter after a pause of the process
PAUSE_DETECTION_S = 0.5  # a tick that is this late shows that the process was paused
JOIN_RETRY_PERIODS = 0.5  # interval between join requests, in probe intervals
LEAVE_REPEATS = 2  # sent more than once because datagrams can be lost


class FailureDetector:
    """The group as seen by one router.

    Args:
        router_index: index of this router among the configured ones.
        router_count: number of configured routers.
        seed: seed of the random choice of probe targets.
        now: current time, in seconds.
        probe_interval_s: time between probes, in seconds.
        suspicion_timeout_s: time to refute a suspicion in a group of ten or fewer, in seconds.
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
        self.has_joined = False
        self.is_superseded = False  # a later process has this index; this one no longer participates
        self.leaving = False
        self.local_health = 0
        self.implausible_updates = 0
        self.view = MemberView(router_index)
        self.gossip = GossipQueue(self.view)
        self.prober = Prober(self.view, router_count, seed, probe_interval_s)
        self._join_replies = JoinReplies(router_count, now)
        self._supersession_reports = SupersessionReports(router_count)
        self._refute_timer = RefuteTimer()
        self._next_probe_at = now

    def next_due(self) -> float:
        """Time at which `tick` has to be called next."""
        suspicions = [member.suspicion_deadline for member in self.view.members.values()]
        return min([self._next_probe_at, self._refute_timer.due_at, *self.prober.deadlines(), *suspicions])

    def tick(self, now: float) -> list[OutgoingMessage]:
        """Processes what is due: joining, timeouts of probes and suspicions, and the next probe."""
        if self.is_superseded:
            self._next_probe_at = now + self.probe_interval_s
            return []
        if not self.has_joined:
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
        """Starts a planned stop and returns the notifications to all live members."""
        self.leaving = True
        if not self.has_joined or self.is_superseded:
            return []
        left = MemberUpdate(self.generation, self.incarnation, MemberState.LEFT, self.router_index)
        self._record(left, "this router is stopping", now)
        message = Message(MessageType.LEAVE, self.generation)
        return [
            OutgoingMessage(router, message)
            for router in self.view.alive_routers()
            if router != self.router_index
        ] * LEAVE_REPEATS

    # Join protocol.

    def _join(self, now: float) -> list[OutgoingMessage]:
        """Asks for this router's last generation until all reply or time is out, then takes the next one."""
        if now >= self._join_replies.deadline or self._join_replies.has_all_replies():
            return self._finish_join(now)
        retry_at = now + self.probe_interval_s * JOIN_RETRY_PERIODS
        self._next_probe_at = min(retry_at, self._join_replies.deadline)
        return [
            OutgoingMessage(router, Message(MessageType.JOIN, 0))
            for router in self.prober.others()
            if router not in self._join_replies.reported_generations
        ]

    def _finish_join(self, now: float) -> list[OutgoingMessage]:
        """Takes the generation after the last one, adds the repliers to the view and pings all routers."""
        self.generation = self._join_replies.last_generation() + 1
        self.has_joined = True
        self._next_probe_at = now
        self._record_own_start("start of this router", now)
        for router, generation in self._join_replies.replier_generations.items():
            if 1 <= generation <= MAX_COUNTER_JUMP:
                alive = MemberUpdate(generation, 0, MemberState.ALIVE, router)
                self._record(alive, "replied to the join request", now)
        return [OutgoingMessage(router, self._message(MessageType.PING)) for router in self.prober.others()]

    def _record_own_start(self, cause: str, now: float) -> None:
        alive = MemberUpdate(self.generation, self.incarnation, MemberState.ALIVE, self.router_index)
        self._record(alive, cause, now)

    # Timeouts.

    def _on_paused(self, lateness: float, now: float) -> None:
        """Drops the probes in flight and postpones the suspicion deadlines after a pause of this process.

        Answers that are missing because this process did not run say nothing about other routers.
        """
        self.local_health = min(self.local_health + PAUSE_HEALTH_PENALTY, MAX_LOCAL_HEALTH)
        self.prober.probes.clear()
        for member in self.view.members.values():
            member.suspicion_deadline += lateness
        self._next_probe_at = now

    def _check_probes(self, now: float) -> list[OutgoingMessage]:
        """Requests indirect probes where an ack is late, and suspects the targets of failed probes."""
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
        """Handles a probe without a direct or indirect ack: its target becomes suspected."""
        del self.prober.probes[probe.sequence]
        self.local_health = min(self.local_health + 1, MAX_LOCAL_HEALTH)
        member = self.view.members.get(probe.target)
        if member is None or not member.is_alive:
            return
        member.probe_failed = True
        if member.update.state is MemberState.ALIVE:
            self._record(member.update_with(MemberState.SUSPECT), "no direct or indirect ack", now)

    def _check_suspicions(self, now: float) -> None:
        """Declares a member dead when its suspicion times out and its death is confirmed."""
        overdue = [member for member in self.view.members.values() if now >= member.suspicion_deadline]
        for member in overdue:
            member.suspicion_deadline = math.inf
            if is_death_confirmed(member):
                self._record(member.update_with(MemberState.DEAD), "suspicion not refuted", now)
            else:  # reported by a single router: probe the member directly
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
        """Returns a message whose updates are not chosen for a particular receiver."""
        updates = self.gossip.select(None, 0.0)
        return Message(message_type, self.generation, sequence, subject, self.view.digest, updates=updates)

    def _message_to(self, receiver: int, message_type: MessageType, sequence: int, now: float) -> Message:
        """Returns a message whose updates are chosen for its receiver."""
        updates = self.gossip.select(receiver, now)
        return Message(message_type, self.generation, sequence, -1, self.view.digest, updates=updates)

    # Received messages.

    def receive(self, sender: int, message: Message, now: float) -> list[OutgoingMessage]:
        """Handles a message of another router and returns the answers to send."""
        if self.is_superseded or sender == self.router_index:
            return []
        if message.message_type is MessageType.JOIN_REPLY:
            return self._on_join_reply(sender, message, now)
        known = self.view.members.get(sender)
        known_generation = known.update.generation if known is not None else 0
        is_outdated = self.has_joined and message.generation < known_generation
        if message.message_type is MessageType.JOIN or is_outdated:
            reply = Message(MessageType.JOIN_REPLY, self.generation, sequence=known_generation)
            return [OutgoingMessage(sender, reply)]
        if not self.has_joined:
            return []
        if known is None or message.generation > known_generation:
            if message.generation - known_generation > MAX_COUNTER_JUMP or message.generation < 1:
                self.implausible_updates += 1
                return []
            started = MemberUpdate(message.generation, 0, MemberState.ALIVE, sender)
            self._record(started, "message of a new generation", now)
        member = self.view.members[sender]
        member.observe_digest(message.view_digest, self.view.digest, now)
        for update in message.updates:
            self._apply_update(update, sender, now)
        return self._dispatch(member, message, now)

    def _dispatch(self, sender: Member, message: Message, now: float) -> list[OutgoingMessage]:
        """Handles a message whose updates have already been applied, by its type."""
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
        """Handles a reply to a join request, or, after joining, a report of a newer generation."""
        if self.has_joined:
            self._on_newer_generation(sender, message.sequence, now)
            return []
        self._join_replies.add_reply(sender, message.sequence, message.generation)
        return self._join(now) if self._join_replies.has_all_replies() else []

    def _relay_probe(self, requester: int, message: Message, now: float) -> list[OutgoingMessage]:
        """Pings a router for the requester of an indirect probe."""
        target = message.subject
        if not 0 <= target < self.router_count or target in (self.router_index, requester):
            return []
        sequence = self.prober.add_relay(requester, message.sequence, now)
        if sequence is None:
            return []
        return [OutgoingMessage(target, self._message_to(target, MessageType.PING, sequence, now))]

    def _on_ack(self, sender: int, sequence: int, now: float) -> list[OutgoingMessage]:
        """Handles the ack of a ping; that of a relayed ping is passed on to the requester."""
        relay = self.prober.relays.pop(sequence, None)
        if relay is not None:
            ack = self._message(MessageType.INDIRECT_ACK, relay.sequence, sender)
            return [OutgoingMessage(relay.requester, ack)]
        self._on_probe_answered(sequence, sender, now)
        return []

    def _on_probe_answered(self, sequence: int, target: int, now: float) -> None:
        """Handles the answer to a probe, received directly or through a helper."""
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
        member.death_reporters.clear()
        if member.update.state is MemberState.SUSPECT:  # the other routers still wait for its refutation
            member.suspicion_deadline = now + self._suspicion_timeout()

    # Updates received by gossip, which may be outdated or false.

    def _apply_update(self, update: MemberUpdate, reporter: int, now: float) -> None:
        if update.router == self.router_index:
            self._apply_update_of_self(update, reporter, now)
            return
        member = self.view.members.get(update.router)
        if member is None:
            if update.state is MemberState.ALIVE:  # becomes a member once it answers a probe
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
        elif is_accepted(member, update, reporter):
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
        """Handles a report that a live member is dead: the first one makes it suspected and has it probed."""
        member.death_reporters.add(reporter)
        if member.update.state is MemberState.ALIVE:
            suspect = MemberUpdate(update.generation, update.incarnation, MemberState.SUSPECT, update.router)
            self._record(suspect, f"reported dead by router {reporter}", now)
            self.prober.priority_targets.append(update.router)
        elif is_death_confirmed(member):
            self._record(update, "suspicion of other routers not refuted", now)

    # Updates about this router.

    def _on_newer_generation(self, reporter: int, generation: int, now: float) -> None:
        """Handles a report of a later process with this index; enough of them supersede this process."""
        if generation - self.generation > MAX_COUNTER_JUMP:
            self.implausible_updates += 1
            return
        if generation > self.generation:
            self._supersession_reports.add_report(reporter, generation)
        if self.is_superseded or not self._supersession_reports.is_confirmed():
            return
        if not self.view.was_ever_answered():
            # No router has answered this generation: it was chosen at a start when none could be reached.
            # The reports are of earlier processes, so this one takes the next generation.
            self.generation = self._supersession_reports.skip_reported()
            self.incarnation = 0
            self._record_own_start("start of this router, generation raised above the reported ones", now)
            return
        self.is_superseded = True
        cause = "a later process has the index of this router"
        self.view.changes.append(MemberChange(self.router_index, generation, MemberState.DEAD, cause))

    def _on_accused(self, update: MemberUpdate, now: float) -> None:
        """Refutes a suspicion at once and a report of death when the refute timer allows."""
        if update.incarnation < self.incarnation:
            self.gossip.enqueue(self.router_index)  # the earlier refutation may have been lost
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
        """Applies an accepted update to the view and, if it is new, disseminates it."""
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
