"""The decisions of a marbleworks router: what runs, where, when and on what terms.

A platform makes one Gateway for each router and calls it: listed, take (which returns the handle that later
news of a command are calls on) and awake. The Gateway asks its Port; port and types are in model.py.

The ordinary path of a command is Gateway.consider. docs/design.md says what is kept of the paper and why.
"""

from __future__ import annotations

import math
import zlib
from collections import deque

from marbleworks.model import (
    AttemptOutcome,
    DeploymentRules,
    EngineEntry,
    FleetInfo,
    Idempotency,
    LoadReport,
    RequestClass,
)
from marbleworks.ports import SchedulerPort, SharedBudgets

Need = tuple[float, float]  # work and memory
Seen = tuple[float, float]  # when, and what

SAMPLES = 16  # how many of the last measurements are kept
INSTANT = 0.01  # seconds between reviews at least
BEAT = 0.05  # seconds between reviews while anything is held; four between looks at what is out
HOMES = 0.5  # part of the fleet that a table group calls home
MAX_HOME_SETS = 1024  # different ones
MOST_RIVALS = 6  # K: conflicting declarations that any node of a graph may face
HOLD_PART = 0.15  # part of its time to the latency target that LOW may delay a command
MEMORY_PART = 0.9  # part of a paging engine's memory that commands out may need, all routers together
PER_CORE = 3.0  # threads a core, all routers together, that the lane allows under pressure
CLOSE_CALL_RATIO = 0.6  # part of its time to the latency target after which an answer is a close call
CLOSE_PART = 0.25  # the fleet is strained when this part of its answers are
STRAINED = 1.6  # an engine is under pressure when commands take this many times their time alone
LATELY = 1.0  # seconds for which a report may decide between two engines
FRESH = 10.0  # seconds for which pace, load and a tenant's rate are remembered
AGEING = 0.1  # work per benefit that a second of waiting makes up for in the lane
SLOW_START_TRUST = 0.7  # part of a fresh engine's nominal floor that we count on
SPONSORS = 4  # routers that may send to a fresh engine: each has a share that holds a command
RUNAWAY = 5.0  # times its expected time that a send may still need before it is called off
UNTOLD = (2.0, 1.0)  # times what it ran that it is thought to need untold; where it may stand behind a load
LEAST_FREE = 0.05  # part of an engine that bound profiles leave to the others at least
FIRST_REST = 1.0  # seconds without sends to an engine that looks ill, doubling while it does
MARGIN = 0.02  # seconds kept free before a limit in time
LAST_PART = 0.1  # part of a command's time that is kept for telling its client ...
LAST = 0.03  # ... and seconds at most
NONE = -2  # the place of a router that may sponsor no fresh engine; -1: it was not told its place
TOLD = 0.002  # seconds by which a platform may wake us too early


class Wtpg:
    """Weighted transaction-precedence graph of one table group (paper, 3.1)."""

    def __init__(self) -> None:
        self.start: dict[int, float] = {}  # node -> remaining cost
        self.conflicts = dict[int, dict[int, float]]()  # i -> j -> weight of i->j, kept for either direction
        self.precedes = dict[int, dict[int, float]]()

    def e(self, node: int) -> float:
        """E: the critical path if the node's request were granted now (paper, figure 5)."""
        after = self.precedes | {node: self.precedes.get(node, {}) | self.conflicts.get(node, {})}
        settled = False
        while not settled:  # an order that follows from those known settles further conflict edges
            settled = True
            for i in self.conflicts.keys() & after.keys():
                open_to = self.conflicts[i].items() - after[i].items()
                if follows := {j: weight for j, weight in open_to if self._leads(after, i, j)}:
                    after[i], settled = after[i] | follows, False
        tails: dict[int, float] = {}

        def tail(i: int) -> float:
            if i in after and i not in tails:
                tails[i] = math.inf  # met again while being worked out: a cycle, a deadlock
                tails[i] = max([weight + tail(j) for j, weight in after[i].items()], default=0.0)
            return tails.get(i, 0.0)

        return max(cost + tail(i) for i, cost in self.start.items())

    def _leads(self, after: dict[int, dict[int, float]], i: int, j: int) -> bool:
        seen = [i]
        for at in seen:  # grows while it is walked
            seen += [b for b in after.get(at, ()) if b not in seen]
        return j in seen


class EngineState:  # what one router knows of it
    def __init__(self, entry: EngineEntry, cores: int) -> None:
        self.entry, self.cores, self.wire_id = entry, cores, zlib.crc32(entry.name.encode()).to_bytes(4)
        self.allowed_classes: list[bool] = []  # the profiles whose placement allows it
        self.free_share = 1.0  # the part of it that profiles bound to fewer engines leave to the others
        self.slow_start_rank = 0  # our place in the order of its sponsors, while it is fresh
        self.is_draining = False  # we were told that it drains or is gone
        self.in_flight, self.loading_groups = (
            list[Attempt](),
            list[int](),
        )  # loading: the table groups of loads out there
        self.threads_in_use, self.memory_in_use_mb = 0, 0.0  # of ours that are out there
        self.pace = 1.0  # how many times its time alone a command takes there; the fleet's where not known
        self.reset()

    def reset(self) -> None:  # what an earlier process of that name showed does not hold
        self.slowdowns: deque[Seen] = deque(maxlen=SAMPLES // 2)  # time taken over time alone
        self.recent_failures: deque[bool] = deque(maxlen=6)
        self.reported_load, self.reported_full, self.reported_at = 0.0, False, -math.inf  # by its last report
        self.answer_count, self.slow_start_work = 0, deque[Seen]()  # since it started
        self.last_heard_at, self.ejected_until, self.next_ejection_s = -math.inf, -math.inf, FIRST_REST
        self.refuses_connections = False  # nobody listened there when we last asked


class Attempt:
    def __init__(self, cmd: RequestState, no: int, engine: EngineState, at: float) -> None:
        self.request, self.number, self.engine, self.started_at = cmd, no, engine, at
        self.progress, self.is_stalled, self.is_cancelled = 0.0, False, False  # share: done, by the last note
        self.retry_cost = self.slow_start_cost = (
            0.0  # what it counts in the retry budget, and of what a fresh engine bears
        )
        self.finished_at: float | None = (
            None  # when the engine was done with it, where its result is read for long
        )


def bias_of(needs: deque[tuple[Need, Need]], i: int) -> float:
    return sum(n[i] for _, n in needs) / (sum(t[i] for t, _ in needs) or 1.0) if needs else 1.0


def pace_of(slowness: deque[Seen], out: list[Attempt], now: float, usual: float) -> float:
    recent(slowness, now - FRESH)
    late = [(now - s.started_at) / (s.request.solo_time_s() + MARGIN) for s in out if not s.is_stalled]
    seen = sorted([pace for _, pace in slowness] + [x for x in late if x > STRAINED])
    return max(seen[len(seen) // 2], 1.0) if len(seen) > 2 else usual


def recent(seen: deque[Seen], start: float) -> deque[Seen]:  # what came before the start is forgotten
    while seen and seen[0][0] <= start:
        seen.popleft()
    return seen


class RequestState:
    """The handle of a command: what the platform hears of it later is a call here."""

    def __init__(self, gw: Scheduler, ref: str, index: int, group: int, told: Need, came: float, left: float):
        now, p = gw.port.now(), gw.request_classes[index]
        self.gateway, self.ref, self.class_index, self.estimate, self.tenant = gw, ref, index, told, -1
        self.request_class, self.table_group, self.received_at, self.deadline = p, group, came, now + left
        self.work, self.memory_mb = (
            told[0] * gw.estimate_bias[index][0] or gw.mean_work(index),
            told[1] * gw.estimate_bias[index][1],
        )
        gw.lag = max(now - came, 0.999 * gw.lag)  # an outcome may wait as long in a router short of CPU
        self.answer_by = self.deadline - max(
            MARGIN / 2, min(LAST_PART * left, LAST), min(2.0 * gw.lag, left / 2)
        )
        self.target_at = min(
            self.received_at + p.latency_target_s + p.latency_target_growth * self.solo_time_s(),
            self.deadline,
        )
        self.priority_weight, self.ordering_key = p.priority_weight, ""
        self.sequence = gw.count = gw.count + 1  # place in the order of taking
        self.completed = self.in_graph = self.has_erred = False
        self.attempt_count = self.unsent_count = self.runaway_count = (
            0  # unsent: never left; runaways: called off for pace
        )
        self.in_flight, self.tried_engines, self.probed_engines = (
            list[Attempt](),
            list[EngineState](),
            list[EngineState](),
        )  # asked: for load
        self.may_have_run: Attempt | None = None
        self.probed_at = self.may_run_until = -math.inf

    @property
    def counted_attempts(
        self,
    ) -> int:  # its sends that count: what never left is none, as often again as may be sent
        return self.attempt_count - min(self.unsent_count, self.gateway.rules.max_attempts)

    @property
    def settled(self) -> bool:
        return self.completed and not self.in_flight

    def has_settled(self, now: float) -> bool:  # nothing of it can still take effect
        return self.settled and now >= self.may_run_until

    def solo_time_s(self) -> float:  # how long it runs on an idle engine
        return self.work / self.request_class.threads

    def close_call(self, now: float) -> float:  # 1 where most of the time to its target is gone
        return float(now - self.received_at > CLOSE_CALL_RATIO * (self.target_at - self.received_at))

    def conflicts_with(self, other: RequestState) -> bool:  # in one table group: readers only with loads
        return self.request_class.is_load or other.request_class.is_load

    def queue_rank(self, now: float) -> tuple[float, int]:
        return self.work / max(self.priority_weight, 1e-9) - AGEING * (now - self.received_at), self.sequence

    def on_answer(self, attempt_no: int, cost: Need | None, report: LoadReport | None) -> None:
        """The answer has reached the client; need: work and memory it took, where engines tell."""
        gw, send = self.gateway, self._taken_back(attempt_no)
        if send is None:
            return
        if cost is not None:
            gw.needs[self.class_index].append((self.estimate, cost))
        now, alone = (
            send.finished_at or gw.port.now(),
            (cost[0] if cost else self.work) / self.request_class.threads,
        )
        gw.given_back(self, attempt_no, False)
        gw.close_calls.append((now, self.close_call(now)))
        for slowness in (send.engine.slowdowns, gw.slowness):
            slowness.append((now, (now - send.started_at) / (alone + MARGIN)))
        gw.heard_well(send.engine, report)
        gw.close(self)
        gw.review()

    def on_attempt_end(
        self, attempt_no: int, outcome: AttemptOutcome, already_completed: bool, report: LoadReport | None
    ) -> None:
        """A send ended without an answer; over: the command's end is already settled."""
        gw, send, now = self.gateway, self._taken_back(attempt_no), self.gateway.port.now()
        if send is None:
            return
        gw.given_back(self, attempt_no, outcome.may_still_run)
        if outcome.never_sent:
            gw.take_back(self, send)
        first = self.may_have_run  # the window for repeats counts from it, in whatever order sends end
        if not outcome.never_ran and (first is None or send.started_at < first.started_at):
            self.may_have_run = send
        if outcome.may_still_run:
            self.may_run_until = now + gw.rules.key_settle_s
        gw.heard_badly(send.engine, outcome, self)
        if already_completed:
            gw.close(self)
        elif not self.completed and not self.in_flight:
            if outcome is not AttemptOutcome.UNSENT and gw.may_retry(self, now):
                gw.pending[self.sequence] = self
                gw.try_schedule(self)
            else:
                gw.give_up(self)
        gw.review()

    def on_client_disconnect(self) -> None:
        self.gateway.close(self)

    def _taken_back(self, send_no: int) -> Attempt | None:
        send = next((s for s in self.in_flight if s.number == send_no), None)
        if send is not None:
            for out in (self.in_flight, send.engine.in_flight, self.gateway.out):
                out.remove(send)
            if self.request_class.is_load:
                send.engine.loading_groups.remove(self.table_group)
            send.engine.threads_in_use -= self.request_class.threads
            send.engine.memory_in_use_mb -= self.memory_mb
        return send

    def on_progress(self, attempt_no: int, progress: float | None, is_stalled: bool = False) -> None:
        """A note of a send that is out: the share done, where told, and whether it stands still."""
        for send in (s for s in self.in_flight if s.number == attempt_no):
            send.progress, send.is_stalled = send.progress if progress is None else progress, is_stalled
            send.engine.last_heard_at = self.gateway.port.now()

    def on_result_reading(self, attempt_no: int) -> None:
        """The engine is done with a send, and its result is being read: that takes none of its threads."""
        self.on_progress(attempt_no, 1.0, is_stalled=True)
        for send in (s for s in self.in_flight if s.number == attempt_no):
            send.finished_at = send.finished_at or send.engine.last_heard_at


class Scheduler:
    def __init__(
        self,
        port: SchedulerPort,
        seed: int,
        profiles: list[RequestClass],
        rules: DeploymentRules,
        fleet: FleetInfo,
    ):
        self.port, self.seed, self.request_classes, self.rules, self.fleet = (
            port,
            seed,
            profiles,
            rules,
            fleet,
        )
        self.routers: float = max(fleet.router_count, 1)  # by what the whole is divided for our part
        # The sponsors of fresh engines are among so many; who is not told how many there are sponsors none.
        self.among, self.place = (
            max(fleet.router_count, 1),
            fleet.router_index if fleet.router_count else NONE,
        )
        self.began = port.now()  # what was sent before, by a router of our number, is not known
        self.placed_until, self.kept = math.inf, 1.0
        self.slack = (
            rules.connect_timeout_s + MARGIN
        )  # what is sent on a rule's time leaves within it, or not
        self.shared_budgets: SharedBudgets | None = (
            None  # our part of budgets shared with others, where there are any
        )
        self.engines, self.marks = (
            dict[int, EngineState](),
            dict[bytes, EngineState](),
        )  # marks: as peers call them
        self.up, self.out = (
            list[EngineState](),
            list[Attempt](),
        )  # up: those listed so, in the order of their ids
        self.pending, self.turns = dict[int, RequestState](), dict[str, list[RequestState]]()
        self.graphs: dict[int, list[RequestState]] = {}  # nodes of each table group
        self.homes: dict[int, dict[EngineState, None]] = {}
        self.cores, self.bound = 0, dict[int, int]()  # of all; open to each profile that is kept from some
        self.count, self.draws, self.lag = 0, 0, 0.0  # lag: for which commands lately waited to be taken
        self.slowness, self.close_calls = deque[Seen](maxlen=SAMPLES), deque[Seen](maxlen=SAMPLES)
        self.fleet_pace, self.poor_pace, self.strained, self.judged_at = 1.0, 1.0, False, -math.inf
        self.mark, self.crowded = math.inf, set[tuple[int, bool]]()  # mean recent work; kinds without room
        self.waking, self.reviewed, self.watched = math.inf, -math.inf, -math.inf
        self.soonest = math.inf  # the first last moment among those held
        self.takes, self.retries = deque[Seen](), deque[Seen]()
        most = (math.ceil(FRESH * rate / self.routers) for rate in rules.tenant_rates_per_s)
        self.tenant_takes: list[deque[float]] = [deque(maxlen=n) for n in most]  # as their shares allow
        self.needs: list[deque[tuple[Need, Need]]] = [deque(maxlen=2 * SAMPLES) for _ in profiles]
        self.estimate_bias: list[Need] = [(1.0, 1.0)] * len(profiles)
        self.recent_work: deque[tuple[int, float]] = deque(maxlen=8 * SAMPLES)

    def update_engines(self, entries: list[EngineEntry], complete: bool) -> None:
        self.homes.clear()
        named = {entry.engine_id for entry in entries}
        for entry in entries:
            engine = self.engines.setdefault(
                entry.engine_id, EngineState(entry, self.fleet.cores_by_kind[entry.machine_kind])
            )
            if entry.started_at > engine.entry.started_at:
                engine.reset()
            engine.entry = entry
            places = [
                (p.allowed_zones or [entry.zone], p.allowed_machine_kinds or [entry.machine_kind])
                for p in self.request_classes
            ]
            engine.allowed_classes = [
                entry.zone in zones and entry.machine_kind in kinds for zones, kinds in places
            ]
            engine.slow_start_rank = self._lot(entry)
            engine.is_draining = not entry.is_up
        for be in [be for be, e in self.engines.items() if e.entry.is_gone or (complete and be not in named)]:
            self.engines.pop(be).is_draining = True
        self.marks = {e.wire_id: e for e in self.engines.values()}
        self.up = sorted((e for e in self.engines.values() if not e.is_draining), key=lambda e: e.entry.name)
        self.cores = sum(e.cores for e in self.up)
        open_to = [
            sum(e.cores for e in self.up if e.allowed_classes[q]) for q in range(len(self.request_classes))
        ]
        self.bound = {q: cores for q, cores in enumerate(open_to) if 0 < cores < self.cores}
        self.review()

    def _lot(self, entry: EngineEntry) -> int:
        """All routers agree on the order of an engine's sponsors from its start alone, without talk."""
        return (self.place - zlib.crc32(f"{entry.name}/{entry.started_at:.3f}".encode())) % self.among

    def set_router_share(
        self,
        share: float,
        router_count: int,
        router_index: int,
        until: float = math.inf,
        guaranteed: float = 1.0,
    ) -> None:
        """Our part of what all routers have together, and our place among those that may sponsor a fresh
        engine; -1: none of it, for now. From `until` on only the part kept, whether or not we are told."""
        self.placed_until, self.kept = until, guaranteed
        if (1.0 / share, router_count, router_index if router_index >= 0 else NONE) == (
            self.routers,
            self.among,
            self.place,
        ):
            return
        self.routers, self.among, self.place = (
            1.0 / share,
            router_count,
            router_index if router_index >= 0 else NONE,
        )
        for engine in self.engines.values():
            engine.slow_start_rank = self._lot(engine.entry)
        most = [math.ceil(FRESH * rate * share) for rate in self.rules.tenant_rates_per_s]
        self.tenant_takes = [deque(t, maxlen=n) for t, n in zip(self.tenant_takes, most, strict=True)]
        self._keep_waking()  # what is held is weighed again at the next beat

    def submit(
        self,
        ref: str,
        class_index: int,
        table_group: int,
        ordering_key: str,
        estimate: Need,
        tenant: int,
        received_at: float,
        time_left_s: float,
        retry_after_s: float | None = None,
    ) -> RequestState:
        """Takes a command that came into the router then; told: estimates, 0 where there are none.
        wait: seconds until there is room for what it leaves behind, None where there is."""
        cmd = RequestState(self, ref, class_index, table_group, estimate, received_at, time_left_s)
        cmd.tenant = tenant
        cmd.priority_weight *= self._within_share(ref, tenant, cmd.received_at)
        if retry_after_s is None and self.shared_budgets is not None:
            retry_after_s = self.shared_budgets.admission_wait(
                ref, class_index, tenant, cmd.target_at - self.port.now() - cmd.solo_time_s()
            )
        self.recent_work.append((class_index, cmd.work))
        recent(self.takes, self.port.now() - self.rules.retry_budget_window_s).append((self.port.now(), 1.0))
        if cmd.request_class.ordered_by_key and ordering_key:
            cmd.ordering_key = ordering_key
            self.turns.setdefault(ordering_key, []).append(cmd)
        self.pending[cmd.sequence] = cmd
        # Guards against a router short of CPU: what spent most of its time to target waiting in it goes back.
        if retry_after_s is not None or cmd.close_call(self.port.now()):
            self.give_up(cmd, retry_after_s)
        else:
            self.try_schedule(cmd)
        self._keep_waking()
        return cmd

    def try_schedule(self, cmd: RequestState) -> None:
        """The ordinary path of a held command, from the taking to the engine."""
        now, p = self.port.now(), cmd.request_class
        self._judge(now)
        late = self.strained and now + cmd.solo_time_s() * self.poor_pace > cmd.target_at
        if late or now + cmd.solo_time_s() * min(self.poor_pace, 1.0) >= cmd.answer_by:
            self.give_up(cmd)
            return
        if cmd.answer_by < self.soonest:
            self.soonest = cmd.answer_by
            if cmd.answer_by < self.waking:
                self.port.schedule_wakeup(cmd.answer_by)
        kin = (cmd.class_index, cmd.work <= self.mark)
        fit = self._fit(cmd, now) if kin not in self.crowded and self._has_turn(cmd, now) else []
        if not fit:
            return
        # Guards against loads of other routers, only at the homes: readers leave those, not for a single one.
        side = [
            e
            for e in fit
            if not (p.is_load or p.waits_for_loads) or (e in self._homes(cmd.table_group)) == p.is_load
        ]
        side = side if len(side) >= (1 if p.is_load else 2) else fit
        loads_there = [c for c in self.graphs.get(cmd.table_group, []) if c.request_class.is_load]
        if p.is_load or (p.waits_for_loads and loads_there):
            # LOW: join the group's graph if nobody then faces more than K rivals, and go where none of our
            # loads is when E says that this hurts no rival more than letting the rival go first.
            cmd.in_graph = cmd.in_graph or self._join(cmd)
            free = [e for e in side if cmd.table_group not in e.loading_groups]
            delay_over = now - cmd.received_at > HOLD_PART * (cmd.target_at - cmd.received_at)
            if not (cmd.in_graph and free and self._least_e(cmd, now)) and not delay_over:
                return
            side = free or side  # waited its part of the time: goes, even to stand behind a load of ours
        # The rest is our lane: cheap commands at once, costlier ones under the thread bound.
        if cmd.work <= self.mark and not self.strained:  # cheap ones balance nothing: they save the crossing
            side = [e for e in side if e.entry.zone == self.fleet.zone] or side
        two = [e for e in cmd.probed_engines if e in side] or self._two(cmd, side, now)
        if self.rules.allows_probes and cmd.work > self.mark and not self._asked(cmd, two, now):
            return
        known = all(e.reported_at > now - LATELY for e in two)  # then the one that reports less
        engine = min(two, key=lambda e: e.threads_in_use / e.cores + e.reported_load) if known else two[0]
        if self._room(cmd, engine, now):
            self._send(cmd, engine, now)
        else:
            self.crowded.add(kin)

    def review(self) -> None:
        """Weighs again all that is held: cheapest per benefit first, with ageing."""
        now = self.port.now()
        if self.pending and now >= self.reviewed + INSTANT - 1e-6:  # what comes sooner waits for the next
            self.crowded.clear()
            for cmd in sorted(self.pending.values(), key=lambda c: c.queue_rank(now)):
                if cmd.sequence in self.pending:
                    self.try_schedule(cmd)
            self.reviewed = 2.0 * self.port.now() - now  # a long one leaves as much time to all else
        elif self.pending:
            if self.shared_budgets is not None:  # what just came free of a part is used at once
                self.try_schedule(min(self.pending.values(), key=lambda c: c.queue_rank(now)))
            self._wake(self.reviewed + INSTANT)
        self._keep_waking()

    def on_timer(self) -> None:
        now = self.port.now()
        if now >= self.soonest - TOLD / 2:  # nothing that is held waits past its own last moment
            for cmd in [c for c in self.pending.values() if now >= c.answer_by - TOLD / 2]:
                self.give_up(cmd)
            self.soonest = min((c.answer_by for c in self.pending.values()), default=math.inf)
        if now >= self.waking - 1e-6:  # else an earlier wish, overtaken
            self.waking = math.inf
            self._judge(self.port.now())
            if self.port.now() >= self.watched + 4.0 * BEAT - INSTANT:
                self._watch()
            self.review()
        if min(self.soonest, self.waking) < math.inf:  # of our wishes a platform keeps the first alone
            self.port.schedule_wakeup(min(self.soonest, self.waking))

    def give_up(self, cmd: RequestState, retry_after_s: float | None = None) -> None:
        """The final answer, at once: shed where a further try is known to do no harm, else failed.
        wait: seconds until a further try may find what this one lacked."""
        p = cmd.request_class
        harmless = p.idempotency is Idempotency.IDEMPOTENT or (cmd.may_have_run is None and not cmd.in_flight)
        if harmless or (p.idempotency is Idempotency.IDEMPOTENCY_KEY and p.idempotency_scope == "all"):
            self.port.shed(
                cmd.ref,
                min(self.rules.max_retry_after_s, math.inf if retry_after_s is None else retry_after_s),
            )
        else:
            self.port.fail(cmd.ref)
        self.close(cmd)

    def close(self, cmd: RequestState) -> None:
        """Sends of a finished command can no longer matter and are cancelled."""
        cmd.completed = True
        self.pending.pop(cmd.sequence, None)
        if self.shared_budgets is not None:
            self.shared_budgets.stop_waiting(cmd.ref)
        if cmd.in_graph:
            self.graphs[cmd.table_group].remove(cmd)
            cmd.in_graph = False
        for send in [s for s in cmd.in_flight if self.rules.allows_cancel and not s.is_cancelled]:
            send.is_cancelled = True
            self.port.cancel_attempt(cmd.ref, send.number)

    def given_back(self, cmd: RequestState, send_no: int, doubt: bool) -> None:
        if self.shared_budgets is not None:
            self.shared_budgets.release(cmd.ref, send_no, doubt)

    def take_back(self, cmd: RequestState, send: Attempt) -> None:
        """It never left, and counts in no budget."""
        cmd.unsent_count += 1
        for counted, what in (
            (self.retries, send.retry_cost),
            (send.engine.slow_start_work, send.slow_start_cost),
        ):
            if what and (send.started_at, what) in counted:
                counted.remove((send.started_at, what))

    def receive_load_update(self, peer: int, data: bytes) -> None:
        """A peer has news of an engine: which one, whether it is full, its load in 32nds."""
        engine = self.marks.get(data[:4]) if len(data) == 5 else None
        if engine is not None:
            engine.reported_load, engine.reported_full, engine.reported_at = (
                data[4] % 128 / 32.0,
                data[4] > 127,
                self.port.now(),
            )

    def _reported(self, engine: EngineState, r: LoadReport) -> None:
        now, granted, busy = self.port.now(), r.memory_granted or 0.0, r.disks_busy or 0.0
        full = (r.waiting_for_memory or 0.0) >= 1.0 or granted > 0.95 or busy > 0.95
        load = (r.in_flight or 0.0) / engine.cores + (r.waiting_for_memory or 0.0) + granted + busy
        if (
            self.rules.allows_peer_messages and now > engine.reported_at + LATELY
        ):  # one router's news serves all of them
            self.port.broadcast(engine.wire_id + bytes([128 * full + min(127, round(32.0 * load))]))
        engine.reported_load, engine.reported_full, engine.reported_at, engine.last_heard_at = (
            load,
            full,
            now,
            now,
        )

    def on_probe_result(self, engine_id: int, is_reachable: bool, report: LoadReport | None) -> None:
        engine = self.engines.get(engine_id)  # perhaps gone meanwhile
        if engine and is_reachable and report is not None:
            self._reported(engine, report)
        elif engine and not is_reachable:
            self.heard_badly(engine, AttemptOutcome.UNREACHABLE)
        self.review()

    def _graph(self, group: int, now: float) -> Wtpg:
        """Held nodes that conflict are rivals; what is out precedes them, the longest of a kind for all."""
        graph, nodes = Wtpg(), self.graphs[group]
        held = [c for c in nodes if not c.in_flight]
        for a in held:
            graph.start[a.sequence] = a.work
            graph.conflicts[a.sequence] = {
                b.sequence: b.work for b in held if a is not b and a.conflicts_with(b)
            }
        for loads in (True, False):
            out = [self._remaining(c, now) for c in nodes if c.in_flight and c.request_class.is_load == loads]
            if out:
                graph.start[-loads] = max(out)
                graph.precedes[-loads] = {
                    b.sequence: b.work for b in held if loads or b.request_class.is_load
                }
        return graph

    def _remaining(self, cmd: RequestState, now: float) -> float:
        """Cost still to come. On a slow engine time runs and work does not: notes and pace correct that."""
        left = cmd.work
        for send in cmd.in_flight:
            ran = (now - send.started_at) * cmd.request_class.threads / send.engine.pace
            left = min(left, cmd.work * (1.0 - send.progress) if send.progress else cmd.work - ran)
        return max(left, 0.0)

    def _join(self, cmd: RequestState) -> bool:
        nodes = self.graphs.setdefault(cmd.table_group, [])
        held = [c for c in nodes if not c.in_flight]  # a load faces them all, a reader the loads among them
        if len(held) <= MOST_RIVALS or not any(c.request_class.is_load for c in [cmd, *held]):
            nodes.append(cmd)
        return cmd in nodes

    def _least_e(self, cmd: RequestState, now: float) -> bool:
        if not any(
            not c.in_flight and c is not cmd and c.conflicts_with(cmd) for c in self.graphs[cmd.table_group]
        ):
            return True
        graph = self._graph(cmd.table_group, now)
        e = graph.e(cmd.sequence)
        return not math.isinf(e) and all(
            e <= graph.e(rival) + 1e-9 for rival in graph.conflicts[cmd.sequence]
        )

    def _homes(self, group: int) -> dict[EngineState, None]:
        """The group's homes, the same at each router: first in its hash over the engines' ids."""
        group %= MAX_HOME_SETS
        if group not in self.homes:
            up = sorted(self.up, key=lambda e: zlib.crc32(f"{group}/{e.entry.name}".encode()))
            self.homes[group] = dict.fromkeys(up[: math.ceil(HOMES * len(up))])
        return self.homes[group]

    def _judge(self, now: float) -> None:  # how the fleet is doing, once in a beat
        if now >= self.placed_until:  # we stood still, or nobody told us: others may have our part by now
            self.set_router_share(self.kept, self.among, NONE, guaranteed=self.kept)
        if now < self.judged_at + BEAT:
            return
        self.judged_at, self.fleet_pace = now, pace_of(self.slowness, self.out, now, 1.0)
        for e in self.up:
            e.pace = pace_of(e.slowdowns, e.in_flight, now, self.fleet_pace)
        self.poor_pace = sorted([x for _, x in self.slowness] or [1.0])[3 * len(self.slowness) // 4]
        close = sum(was for _, was in recent(self.close_calls, now - FRESH))
        close += sum(s.request.close_call(now) for s in self.out)
        self.strained = close > CLOSE_PART * max(len(self.close_calls) + len(self.out), 4)
        self.mark = sum(w for _, w in self.recent_work) / max(len(self.recent_work), 1)
        self.graphs = {group: nodes for group, nodes in self.graphs.items() if nodes}
        self.turns = {k: line for k, line in self.turns.items() if not all(c.has_settled(now) for c in line)}
        self.estimate_bias = [
            (bias_of(needs, 0), bias_of(needs, 1)) for needs in self.needs
        ]  # of their estimates
        # Guards against free commands on the few engines that a bound profile needs.
        part = (1.0 - 1.0 / self.routers) * self.cores / (sum(w for _, w in self.recent_work) or 1.0)
        used = {q: part * sum(w for p, w in self.recent_work if p == q) / c for q, c in self.bound.items()}
        for e in self.up if used else []:
            e.free_share = max(1.0 - sum(n for q, n in used.items() if e.allowed_classes[q]), LEAST_FREE)

    def _fit(self, cmd: RequestState, now: float) -> list[EngineState]:
        """What the rules allow, the trusted of it unless that shuts out most; ejected ones, one at a time."""
        if not self.may_retry(cmd, now):
            return []
        allowed = [e for e in self.up if self._allowed(cmd, e, now)]
        # Guards against dead engines among few that are warm: that one refuses is no symptom but a proof.
        allowed = [e for e in allowed if now >= e.ejected_until or not e.refuses_connections] or allowed
        trusted = [
            e
            for e in allowed
            if now >= e.ejected_until and (e.next_ejection_s == FIRST_REST or not e.in_flight)
        ]
        pool = trusted if 2 * len(trusted) >= len(allowed) else allowed
        return [e for e in pool if e not in cmd.tried_engines] or pool

    def _two(self, cmd: RequestState, engines: list[EngineState], now: float) -> list[EngineState]:
        """Fewest of our threads per core, chance among equals; a slow engine counts as a smaller one."""
        bound = not self.bound or cmd.class_index in self.bound  # else it is free
        room = {e: (1.0 if bound else e.free_share) * self._able(e, now) / e.pace for e in engines}
        return sorted(engines, key=lambda e: (e.threads_in_use + self._chance()) / room[e])[:2]

    def _fresh(self, engine: EngineState, now: float) -> bool:
        return engine.entry.started_at > 0 and now - engine.entry.started_at < self.rules.slow_start_s

    def _able(self, engine: EngineState, now: float) -> float:
        """Its cores; when fresh, as far as warm, times the routers that one sponsor stands for."""
        if not self._fresh(engine, now):
            return engine.cores
        stands_for = self.among * self.slow_start_share(engine, now) / self._grown(engine, now)
        return engine.cores * self._warm(engine, now) * stands_for

    def _warm(self, engine: EngineState, now: float) -> float:
        age = max((now - engine.entry.started_at) / self.rules.slow_start_s, 0.0)
        return self.rules.slow_start_floor + (1.0 - self.rules.slow_start_floor) * age

    def _grown(self, engine: EngineState, now: float) -> float:
        """How many times its floor a fresh engine bore when the oldest of what counts now may have left."""
        if (
            self.shared_budgets is not None
            and self.shared_budgets.slow_start_share(engine.entry.engine_id) is not None
        ):
            return 1.0
        then = now - self.rules.overload_window_s - self.slack
        return self._warm(engine, then) / max(self.rules.slow_start_floor, 1e-9)

    def _cold_work(self, cmd: RequestState) -> float:
        """Counted as its profile's mean, as engines' limits are, and as its own where that is more."""
        return max(cmd.work, self.mean_work(cmd.class_index))

    def slow_start_share(self, engine: EngineState, now: float) -> float:
        """Our part of what a fresh engine bears at its start. As it warms sponsors are added, each with the
        same part; where all are, their parts grow."""
        part = (
            None
            if self.shared_budgets is None
            else self.shared_budgets.slow_start_share(engine.entry.engine_id)
        )
        if part is not None or self.place == NONE:
            return part or 0.0
        grown = self._grown(engine, now)
        if self.place < 0 or SPONSORS * grown >= self.among:
            return grown / self.among
        return (engine.slow_start_rank + 1 <= SPONSORS * grown) / SPONSORS

    def _asked(self, cmd: RequestState, two: list[EngineState], now: float) -> bool:
        """Costly commands ask two engines for their load first, and wait for that a moment at most."""
        if not cmd.probed_engines:
            cmd.probed_at, cmd.probed_engines = now, two
            for engine in cmd.probed_engines:
                self.port.probe_load(engine.entry.engine_id)
        return now >= cmd.probed_at + BEAT or all(e.reported_at >= cmd.probed_at for e in cmd.probed_engines)

    def _chance(self) -> float:
        # A checksum alone is linear: engines would keep their places among equals from draw to draw.
        self.draws += 1
        return zlib.crc32(str(zlib.crc32(f"{self.seed}/{self.draws}".encode())).encode()) / 2**32

    def _room(self, cmd: RequestState, engine: EngineState, now: float) -> bool:
        """The thread bound, our part of it; it binds only under pressure, and cheap commands may pass it."""
        memory = self.fleet.memory_mb_by_kind[engine.entry.machine_kind] * MEMORY_PART / self.routers
        if engine.in_flight and self.rules.engines_swap and engine.memory_in_use_mb + cmd.memory_mb > memory:
            return False  # guards against memory that runs over, which slows all there
        if engine.pace <= STRAINED and not (engine.reported_full and engine.reported_at > now - FRESH):
            return True  # it is under no pressure
        bound = PER_CORE / self.routers * (2 if cmd.work <= self.mark else 1)
        if engine.in_flight:
            return engine.threads_in_use + cmd.request_class.threads <= bound * engine.cores
        # Guards against so many routers that one command from each would fill the engine.
        ours = sum(s.request.request_class.threads for s in self.out) if self.strained else 0
        return not ours or ours + cmd.request_class.threads <= bound * self.cores

    def _allowed(self, cmd: RequestState, engine: EngineState, now: float) -> bool:
        p, entry, rules = cmd.request_class, engine.entry, self.rules
        if (
            engine.is_draining
            or now >= cmd.answer_by - MARGIN / 2
            or not engine.allowed_classes[cmd.class_index]
        ):
            return False
        if cmd.may_have_run is not None and p.idempotency is Idempotency.IDEMPOTENCY_KEY:
            first = cmd.may_have_run.engine.entry
            if not {"zone": first.zone == entry.zone, "cell": first.cell == entry.cell}.get(
                p.idempotency_scope, True
            ):
                return False
        allotment = self.shared_budgets
        if allotment is not None and not allotment.has_room(
            cmd.ref, cmd.class_index, cmd.tenant, entry.engine_id
        ):
            return False
        if not self._fresh(engine, now):
            return True
        # A fresh engine: no more in flight than its floor and its answers so far, and a budget of work.
        floor = rules.slow_start_floor * engine.cores * self.slow_start_share(engine, now)
        most = max(p.threads, rules.overload_multiple * floor + engine.answer_count)
        if (
            not floor
            or engine.threads_in_use + p.threads > most
            or now < self.began + rules.overload_window_s
        ):
            return False
        budget = floor * SLOW_START_TRUST * rules.overload_multiple * rules.overload_window_s
        sent = sum(
            work for _, work in recent(engine.slow_start_work, now - rules.overload_window_s - self.slack)
        )
        return sent + self._cold_work(cmd) <= budget

    def may_retry(self, cmd: RequestState, now: float, spare: float = 1.0) -> bool:
        """Whether the command's effect, its number of sends and the budget allow one more."""
        p, rules = cmd.request_class, self.rules
        if cmd.counted_attempts >= rules.max_attempts or (cmd.in_flight and not rules.allows_hedging):
            return False
        doubtful = cmd.may_have_run is not None or bool(cmd.in_flight)
        if doubtful and p.idempotency is Idempotency.NON_IDEMPOTENT:
            return False
        if doubtful and p.idempotency is Idempotency.IDEMPOTENCY_KEY and now >= self._repeat_by(cmd):
            return False
        # What was sent may have left that much later, and so may this: each counts at its worst.
        spent = len(recent(self.retries, now - rules.retry_budget_window_s - self.slack))
        took = len(recent(self.takes, now - rules.retry_budget_window_s + self.slack))
        earned = (
            math.inf
            if rules.retry_budget_ratio is None
            else rules.retry_budget_floor + rules.retry_budget_ratio * took
        )
        if self.shared_budgets is not None:
            earned = self.shared_budgets.retry_allowance(spare, earned)
        return not cmd.counted_attempts or spare * (spent + 1) <= earned

    def _repeat_by(self, cmd: RequestState) -> float:
        """When engines may begin to forget the first of its sends that may have run."""
        return (
            min(s.started_at for s in [cmd.may_have_run, *cmd.in_flight] if s)
            + cmd.request_class.idempotency_window_s
            - MARGIN
        )

    def _begin_by(self, cmd: RequestState, engine: EngineState, now: float) -> float:
        """The latest moment for a send's first byte: until then all that allows it now still does. Guards
        against mail, descriptors and connections that keep it waiting."""
        by = [cmd.answer_by] if self.shared_budgets is None else [cmd.answer_by, self.shared_budgets.begin_by]
        if cmd.counted_attempts or self._fresh(engine, now):
            by.append(now + self.slack)
        if cmd.request_class.idempotency is Idempotency.IDEMPOTENCY_KEY and (
            cmd.may_have_run is not None or cmd.in_flight
        ):
            by.append(self._repeat_by(cmd))
        return min(by)

    def _has_turn(self, cmd: RequestState, now: float) -> bool:
        line = self.turns[cmd.ordering_key] if cmd.ordering_key else [cmd]
        while line[0] is not cmd and line[0].has_settled(now):
            line.pop(0)
        return line[0] is cmd

    def _send(self, cmd: RequestState, engine: EngineState, now: float) -> None:  # the last gate
        allowed = self._allowed(cmd, engine, now) and self.may_retry(cmd, now)
        if cmd.completed or not allowed or not self._has_turn(cmd, now):
            return
        self.pending.pop(cmd.sequence, None)
        priority = 3 if cmd.work <= self.mark else 2 if cmd.request_class.is_load else 1
        learned = self.rules.accepts_memory_grants and len(self.needs[cmd.class_index]) >= SAMPLES // 2
        self.port.set_attempt_terms(cmd.ref, priority, 1.15 * cmd.memory_mb if learned else 0.0)
        if self.shared_budgets is not None:
            self.shared_budgets.acquire(
                cmd.ref, cmd.attempt_count, cmd.class_index, cmd.tenant, engine.entry.engine_id
            )
        send, begin_by = Attempt(cmd, cmd.attempt_count, engine, now), self._begin_by(cmd, engine, now)
        if cmd.counted_attempts:
            send.retry_cost = 1.0
            self.retries.append((now, send.retry_cost))
        if self._fresh(engine, now):
            send.slow_start_cost = self._cold_work(cmd)
            engine.slow_start_work.append((now, send.slow_start_cost))
        cmd.attempt_count += 1
        for out in (cmd.in_flight, engine.in_flight, self.out):
            out.append(send)
        cmd.tried_engines.append(engine)
        if cmd.request_class.is_load:
            engine.loading_groups.append(cmd.table_group)
        engine.threads_in_use += cmd.request_class.threads
        engine.memory_in_use_mb += cmd.memory_mb
        self.port.start_attempt(cmd.ref, engine.entry.engine_id, cmd.answer_by, begin_by)

    def heard_well(self, engine: EngineState, report: LoadReport | None) -> None:
        engine.last_heard_at, engine.refuses_connections = self.port.now(), False
        engine.answer_count += 1
        engine.recent_failures.append(False)
        if report is not None:
            self._reported(engine, report)
        engine.next_ejection_s = FIRST_REST

    def heard_badly(self, engine: EngineState, how: AttemptOutcome, cmd: RequestState | None = None) -> None:
        """Guards against engines that fail fast, which would look idle, and against dead ones. A command that
        errs wherever it goes speaks against one engine, not against each that it is sent to."""
        now = self.port.now()
        # It is the command that waits there, or one connection among others.
        lives = (
            how in (AttemptOutcome.TIMED_OUT, AttemptOutcome.CONNECT_TIMEOUT)
            and now < engine.last_heard_at + LATELY
        )
        if how in (AttemptOutcome.ERROR, AttemptOutcome.REJECTED):
            engine.last_heard_at = now
        engine.refuses_connections = how is AttemptOutcome.CONNECTION_REFUSED or (
            engine.refuses_connections and engine.last_heard_at < now
        )
        if how is AttemptOutcome.ERROR and cmd is not None:
            known, cmd.has_erred = cmd.has_erred, True
            if known:
                return
        if (
            how is AttemptOutcome.REJECTED
        ):  # full, which is no illness but shows pressure: leave it be for a while
            engine.ejected_until = max(now + FIRST_REST / 2, engine.ejected_until)
            self.close_calls.append((now, 1.0))
        elif (
            how not in (AttemptOutcome.CANCELLED, AttemptOutcome.UNSENT, AttemptOutcome.WITHHELD)
            and not lives
        ):
            engine.recent_failures.append(True)
            if (
                engine.next_ejection_s > FIRST_REST
                or sum(engine.recent_failures) >= 3
                or how is not AttemptOutcome.ERROR
            ):
                self._eject(engine, now, how.value)

    def _eject(self, engine: EngineState, now: float, why: str) -> None:
        if now >= engine.ejected_until:
            engine.ejected_until, engine.next_ejection_s = (
                now + engine.next_ejection_s,
                min(2.0 * engine.next_ejection_s, 8.0),
            )
            self.port.log(f"engine {engine.entry.name} ejected for {engine.ejected_until - now:.1f} s: {why}")

    def _watch(self) -> None:
        """Looks at what is out: engines gone silent, runaway plans, answers that will come too late."""
        self.watched = now = self.port.now()
        overdue = [
            s for s in self.out if now - s.started_at > 3.0 * s.request.solo_time_s() * s.engine.pace + 0.7
        ]
        for send in overdue:
            there = {s.request.table_group for s in overdue if s.engine is send.engine}
            if len(there) >= 2 and now - send.engine.last_heard_at > 1.0:
                self._eject(send.engine, now, "silent")
                self._move(send, now)
        for s in [s for s in self.out if not s.is_stalled and not s.is_cancelled]:
            # A runaway plan is drawn anew for each send; if the next one shows it too, the estimate is off.
            left = (now - s.started_at) * (
                (1.0 - s.progress) / s.progress
                if s.progress
                else UNTOLD[s.request.request_class.waits_for_loads]
            )
            patience = RUNAWAY * 2.0**s.request.runaway_count
            if left > patience * s.request.solo_time_s() * s.engine.pace + 1.0 and self._move(s, now):
                s.request.runaway_count += 1

    def _move(self, send: Attempt, now: float) -> bool:
        """Calls a send off and sends elsewhere, where the effect and half of the budget allow that."""
        cmd = send.request
        if cmd.completed or send.is_cancelled or len(cmd.in_flight) > 1 or not self.rules.allows_cancel:
            return False
        fit = [e for e in self._fit(cmd, now) if e is not send.engine and self.may_retry(cmd, now, 2.0)]
        if fit:
            self._send(cmd, self._two(cmd, fit, now)[0], now)
            send.is_cancelled = True
            self.port.cancel_attempt(cmd.ref, send.number)
        return bool(fit)

    def mean_work(self, profile: int) -> float:
        works = [w for q, w in self.recent_work if q == profile] or [w for _, w in self.recent_work]
        return sum(works) / len(works) if works else 1.0

    def _within_share(self, ref: str, tenant: int, now: float) -> float:
        """What a tenant's commands are worth at its present rate."""
        within = None if self.shared_budgets is None else self.shared_budgets.is_within_quota(ref, tenant)
        if within is not None:
            return 1.0 if within else self.rules.over_quota_weight
        times = self.tenant_takes[tenant] if 0 <= tenant < len(self.tenant_takes) else deque(maxlen=0)
        over = 0 < len(times) == times.maxlen and times[0] > now - FRESH
        times.append(now)
        return self.rules.over_quota_weight if over else 1.0

    def _keep_waking(self) -> None:
        self._wake(self.port.now() + (BEAT if self.pending else 4.0 * BEAT if self.out else math.inf))

    def _wake(self, at: float) -> None:
        if at < self.waking:
            self.waking = at
            self.port.schedule_wakeup(at)
