"""Runs one scheduler for each router of the simulation, sharing nothing between them."""

from __future__ import annotations

import math
from collections.abc import Callable

from marbleworks.scheduling.request_state import RequestState
from marbleworks.scheduling.scheduler import Scheduler
from marbleworks.simulation import wire
from marbleworks.simulation.wire import Line, WireError

CLOCK_ROUNDING_S = 1e-5
"""By which a time on the wire may differ from the one that was asked for."""


class SimulatedRouter:
    """One router: implements `ports.SchedulerPort`, and passes the wire's events to its scheduler.

    Args:
        line: the message that creates the router.
        clock: the simulation's time in seconds.
        listings: the engine lists of the simulation, by number.
    """

    def __init__(self, line: Line, clock: Callable[[], float], listings: dict[int, list[Line]]) -> None:
        self.now = clock
        self.listings = listings
        self.actions: list[str] = []
        self.settings = wire.read_settings(line)
        self.engine_ids: dict[str, int] = {}
        self.engine_names: list[str] = []
        self.requests: dict[str, RequestState] = {}
        self.timer_at = math.inf  # the earliest timer that was asked for; the wire cannot take one back
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
            wire.ATTEMPT_NOTE: self._note_progress,
            wire.TIMER: self._on_timer,
            wire.ENGINES_LISTED: self._update_engines,
            wire.CLIENT_LEFT: self._disconnect_client,
            wire.PROBE_RESULT: self._report_probe,
            wire.PEER_MESSAGE: self._receive_load_update,
        }

    # What the scheduler asks for: see `ports.SchedulerPort`.

    def start_attempt(self, ref: str, engine_id: int, deadline: float, begin_by: float) -> None:
        """Sends an attempt. The simulator sends at once, so `begin_by` always holds."""
        self.actions.append(wire.start_attempt(ref, self.engine_names[engine_id], deadline))

    def cancel_attempt(self, ref: str, attempt_no: int) -> None:
        """Cancels an attempt."""
        self.actions.append(wire.cancel_attempt(ref, attempt_no))

    def set_attempt_terms(self, ref: str, priority: int, memory_mb: float) -> None:
        """Sets the terms of the next attempt."""
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
        """Asks for a timer, unless an earlier one is due."""
        if at < self.timer_at:
            self.timer_at = at
            self.actions.append(wire.wake(at))

    def log(self, text: str) -> None:
        """Logs a line."""
        self.actions.append(wire.log(text))

    # What the wire says.

    def handle(self, line: Line) -> None:
        """Passes one event to the scheduler.

        Raises:
            WireError: the line is not known, or not right.
        """
        handler = self._handlers.get(line.name)
        if handler is not None:
            handler(line)
        elif line.name != wire.STREAM_BEGUN:  # no request class of this service streams
            raise WireError(f"{line.name[: wire.QUOTED_CHARS]}: not a known message")

    def _engine_id(self, line: Line) -> int:
        name = line.text("engine")
        if name not in self.engine_ids:
            self.engine_ids[name] = len(self.engine_names)
            self.engine_names.append(name)
        return self.engine_ids[name]

    def _submit(self, line: Line) -> None:
        arrival = wire.read_arrival(line, self.settings)
        self.requests[arrival.ref] = self.scheduler.submit(
            arrival.ref,
            class_index=arrival.class_index,
            table_group=arrival.table_group,
            ordering_key=arrival.ordering_key,
            estimate=arrival.estimate,
            tenant=arrival.tenant,
            received_at=self.now(),
            time_left_s=arrival.time_left_s,
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

    def _note_progress(self, line: Line) -> None:
        request = self.requests.get(line.text("handle"))
        if request is not None:
            note = wire.read_note(line)
            request.on_progress(note.attempt_no, note.progress, is_stalled=note.is_stalled)

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
        if form not in wire.LISTING_FORMS:
            raise line.error("how", "is not known")
        if form == wire.LISTING_FAILED:
            return
        number = line.integer("roster_id")
        if number not in self.listings:
            raise WireError(f"peers_known: roster_id={number} was never given")
        entries = [
            wire.read_engine(item, self.settings, self._engine_id(item)) for item in self.listings[number]
        ]
        self.scheduler.update_engines(entries, complete=form != wire.LISTING_CHANGES)


class Simulation:
    """The routers of one process; nothing passes between them but the batch's clock."""

    def __init__(self) -> None:
        self.now = 0.0
        self.routers: dict[int, SimulatedRouter] = {}
        self.listings: dict[int, list[Line]] = {}

    def handle(self, batch: wire.Batch) -> list[str]:
        """Passes a batch's events to their routers; returns the lines of the answer.

        Raises:
            WireError: an event is not right or not in its place; the error names the batch.
        """
        self.now = batch.now
        try:
            actions = self._handle_events(batch.events)
        except WireError as error:
            raise WireError(f"batch {batch.frame}: {error}") from None
        return [*actions, wire.acknowledge(batch.frame)]

    def _handle_events(self, events: list[Line]) -> list[str]:
        actions: list[str] = []
        number: int | None = None
        listing: list[Line] = []
        missing_items = 0
        for line in events:
            if missing_items and line.name != wire.LISTING_ITEM:
                raise _items_missing(missing_items)
            if line.name == wire.ROUTER_SELECTED:
                number = line.integer("router")
            elif line.name == wire.LISTING_OPENED:
                listing_number = line.integer("roster_id")
                missing_items = line.integer("members")
                listing = []
                self.listings[listing_number] = listing
            elif line.name == wire.LISTING_ITEM:
                if not missing_items:
                    raise WireError("item: no list is open")
                listing.append(line)
                missing_items -= 1
            elif number is None:
                raise WireError(f"{line.name[: wire.QUOTED_CHARS]}: no context says whose it is")
            else:
                self._handle_router_event(number, line, actions)
        if missing_items:
            raise _items_missing(missing_items)
        return actions

    def _handle_router_event(self, number: int, line: Line, actions: list[str]) -> None:
        if line.name == wire.ROUTER_CREATED:
            self.routers[number] = SimulatedRouter(line, lambda: self.now, self.listings)
            return
        if line.name == wire.ROUTER_DESTROYED:
            self.routers.pop(number, None)
            return
        router = self.routers.get(number)
        if router is None:
            raise WireError(f"{line.name[: wire.QUOTED_CHARS]}: router {number} was not provisioned")
        try:
            router.handle(line)
        except WireError:
            raise
        except Exception as error:  # noqa: BLE001 - the bench must see it: a router that goes on would hide it
            router.actions.append(wire.fatal(error))
        if router.actions:
            actions.append(wire.router_heading(number))
            actions.extend(router.actions)
            router.actions.clear()


def _items_missing(count: int) -> WireError:
    return WireError(f"snapshot_rows: {count} of its items are missing")
