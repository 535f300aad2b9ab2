"""Runs a separate scheduler for each router of the simulation."""

from __future__ import annotations

import math
from collections.abc import Callable

from marbleworks.scheduling.request_state import RequestState
from marbleworks.scheduling.scheduler import Scheduler
from marbleworks.simulation import wire
from marbleworks.simulation.wire import Line, WireError

CLOCK_ROUNDING_S = 1e-5
"""Largest rounding difference between a requested timer and the time at which the simulator reports it."""


class SimulatedRouter:
    """One router: implements `ports.SchedulerPort` and passes events of the simulator to its scheduler.

    Args:
        line: the message that creates the router.
        clock: returns the simulation's time in seconds.
        engine_lists: the engine lists of the simulation, keyed by number.

    Attributes:
        actions: lines of the answer to the current event.
        timer_at: time of the earliest requested timer, in seconds; infinite if there is none.
    """

    def __init__(self, line: Line, clock: Callable[[], float], engine_lists: dict[int, list[Line]]) -> None:
        self.now = clock
        self.engine_lists = engine_lists
        self.actions: list[str] = []
        self.settings = wire.read_settings(line)
        self.engine_ids: dict[str, int] = {}
        self.engine_names: list[str] = []
        self.requests: dict[str, RequestState] = {}
        self.timer_at = math.inf  # earliest requested timer; the protocol cannot cancel one
        self.scheduler = Scheduler(
            self,
            wire.read_seed(line),
            self.settings.request_classes,
            self.settings.rules,
            self.settings.fleet,
        )
        self._handlers = {
            wire.REQUEST_ARRIVED: self._submit,
            wire.ATTEMPT_ENDED: self._end_attempt,
            wire.ATTEMPT_PROGRESS: self._report_progress,
            wire.TIMER: self._on_timer,
            wire.ENGINE_LIST_RECEIVED: self._update_engines,
            wire.CLIENT_DISCONNECTED: self._disconnect_client,
            wire.PROBE_RESULT: self._report_probe,
            wire.PEER_MESSAGE: self._receive_load_update,
        }

    # Calls of the scheduler: see `ports.SchedulerPort`.

    def start_attempt(self, ref: str, engine_id: int, deadline: float, begin_by: float) -> None:
        """Sends an attempt; `begin_by` is always met, since the simulator sends at once."""
        self.actions.append(wire.start_attempt(ref, self.engine_names[engine_id], deadline))

    def cancel_attempt(self, ref: str, attempt_no: int) -> None:
        """Cancels an attempt."""
        self.actions.append(wire.cancel_attempt(ref, attempt_no))

    def set_attempt_terms(self, ref: str, priority: int, memory_mb: float) -> None:
        """Sets the priority and the memory of the request's next attempt."""
        self.actions.append(wire.set_attempt_terms(ref, priority, memory_mb))

    def shed(self, ref: str, retry_after_s: float) -> None:
        """Sheds a request."""
        self.actions.append(wire.shed(ref, retry_after_s))

    def fail(self, ref: str) -> None:
        """Fails a request."""
        self.actions.append(wire.fail(ref))

    def probe_load(self, engine_id: int) -> None:
        """Asks an engine for its load."""
        self.actions.append(wire.probe(self.engine_names[engine_id]))

    def broadcast(self, data: bytes) -> None:
        """Sends a message to every peer."""
        self.actions.append(wire.broadcast(data))

    def schedule_wakeup(self, at: float) -> None:
        """Requests a timer, unless an earlier one is pending."""
        if at < self.timer_at:
            self.timer_at = at
            self.actions.append(wire.schedule_wakeup(at))

    def log(self, text: str) -> None:
        """Writes a line to the simulator's log."""
        self.actions.append(wire.log(text))

    # Events of the simulator.

    def handle(self, line: Line) -> None:
        """Passes one event to the scheduler.

        Raises:
            WireError: the line is unknown or invalid.
        """
        handler = self._handlers.get(line.name)
        if handler is not None:
            handler(line)
        elif line.name != wire.STREAM_STARTED:  # ignored: no request class of this service streams
            raise WireError(f"{line.name[: wire.MAX_QUOTED_CHARS]}: unknown message")

    def _engine_id(self, line: Line) -> int:
        name = line.text("engine")
        if name not in self.engine_ids:
            self.engine_ids[name] = len(self.engine_names)
            self.engine_names.append(name)
        return self.engine_ids[name]

    def _submit(self, line: Line) -> None:
        incoming = wire.read_request(line, self.settings)
        self.requests[incoming.ref] = self.scheduler.submit(
            incoming.ref,
            class_index=incoming.class_index,
            table_group=incoming.table_group,
            ordering_key=incoming.ordering_key,
            estimate=incoming.estimate,
            tenant=incoming.tenant,
            received_at=self.now(),
            time_left_s=incoming.time_left_s,
        )

    def _end_attempt(self, line: Line) -> None:
        request = self.requests.get(line.text("handle"))
        if request is None:
            return
        attempt_no = line.integer("seq_no")
        is_completed = line.integer("complete", 0) == 1
        load_report = wire.read_load_report(line, self.settings)
        if line.text("disposition") == wire.ANSWERED:
            request.on_answer(attempt_no, wire.read_usage(line), load_report)
        else:
            outcome = line.choice("disposition", wire.OUTCOMES)
            request.on_attempt_end(attempt_no, outcome, is_completed, load_report)

    def _report_progress(self, line: Line) -> None:
        request = self.requests.get(line.text("handle"))
        if request is not None:
            report = wire.read_progress_report(line)
            request.on_progress(report.attempt_no, report.progress, is_stalled=report.is_stalled)

    def _on_timer(self, line: Line) -> None:
        if self.now() >= self.timer_at - CLOCK_ROUNDING_S:
            self.timer_at = math.inf
            self.scheduler.on_timer()
        self.requests = {ref: request for ref, request in self.requests.items() if not request.settled}

    def _disconnect_client(self, line: Line) -> None:
        request = self.requests.get(line.text("handle"))
        if request is not None:
            request.on_client_disconnect()

    def _report_probe(self, line: Line) -> None:
        is_reached = line.text("disposition") == wire.ANSWERED
        load_report = wire.read_load_report(line, self.settings)
        self.scheduler.on_probe_result(self._engine_id(line), is_reached, load_report)

    def _receive_load_update(self, line: Line) -> None:
        data = wire.read_body(line)
        self.scheduler.receive_load_update(line.integer("from"), data)

    def _update_engines(self, line: Line) -> None:
        form = line.text("how")
        if form not in wire.ENGINE_LIST_FORMS:
            raise line.error("how", "is unknown")
        if form == wire.ENGINE_LIST_FAILED:
            return
        list_number = line.integer("roster_id")
        if list_number not in self.engine_lists:
            raise WireError(f"peers_known: roster_id={list_number} is unknown: no snapshot_rows defined it")
        entries = [
            wire.read_engine(item, self.settings, self._engine_id(item))
            for item in self.engine_lists[list_number]
        ]
        self.scheduler.update_engines(entries, complete=form != wire.ENGINE_LIST_CHANGES)


class Simulation:
    """The routers of one process, which share only the clock and the engine lists.

    Attributes:
        now: the simulation's time in seconds.
        routers: the routers, keyed by number.
        engine_lists: the lines of each engine list, keyed by number.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self.routers: dict[int, SimulatedRouter] = {}
        self.engine_lists: dict[int, list[Line]] = {}

    def handle(self, batch: wire.Batch) -> list[str]:
        """Passes a batch's events to their routers.

        Returns:
            The lines of the answer.

        Raises:
            WireError: an event is invalid or out of place; the message names the batch.
        """
        self.now = batch.now
        try:
            actions = self._handle_events(batch.events)
        except WireError as error:
            raise WireError(f"batch {batch.frame}: {error}") from None
        return [*actions, wire.acknowledge(batch.frame)]

    def _handle_events(self, events: list[Line]) -> list[str]:
        actions: list[str] = []
        router_number: int | None = None
        engine_list: list[Line] = []
        missing_items = 0
        for line in events:
            if missing_items and line.name != wire.ENGINE_LIST_ITEM:
                raise _items_missing(missing_items)
            if line.name == wire.ROUTER_SELECTED:
                router_number = line.integer("router")
            elif line.name == wire.ENGINE_LIST_STARTED:
                list_number = line.integer("roster_id")
                missing_items = line.integer("members")
                engine_list = []
                self.engine_lists[list_number] = engine_list
            elif line.name == wire.ENGINE_LIST_ITEM:
                if not missing_items:
                    raise WireError("item: outside the items of a snapshot_rows")
                engine_list.append(line)
                missing_items -= 1
            elif router_number is None:
                raise WireError(f"{line.name[: wire.MAX_QUOTED_CHARS]}: no context selects a router for it")
            else:
                self._handle_router_event(router_number, line, actions)
        if missing_items:
            raise _items_missing(missing_items)
        return actions

    def _handle_router_event(self, router_number: int, line: Line, actions: list[str]) -> None:
        if line.name == wire.ROUTER_CREATED:
            self.routers[router_number] = SimulatedRouter(line, lambda: self.now, self.engine_lists)
            return
        if line.name == wire.ROUTER_DESTROYED:
            self.routers.pop(router_number, None)
            return
        router = self.routers.get(router_number)
        if router is None:
            raise WireError(
                f"{line.name[: wire.MAX_QUOTED_CHARS]}: router {router_number} is not provisioned"
            )
        try:
            router.handle(line)
        except WireError:
            raise
        except Exception as error:  # noqa: BLE001 - the router runs on, so the failure would be hidden if it were not reported
            router.actions.append(wire.report_error(error))
        if router.actions:
            actions.append(wire.router_header(router_number))
            actions.extend(router.actions)
            router.actions.clear()


def _items_missing(count: int) -> WireError:
    return WireError(f"snapshot_rows: {count} of its items are missing")
