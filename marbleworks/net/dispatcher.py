"""The dispatcher: the only actor that calls the scheduler and the scheduler's request handles.

It keeps the state of each open request: its client, its statement, and the memory granted to it. It
implements the scheduler's port and carries out its decisions. It makes no decisions, never blocks, and gives
each request exactly one final answer.
"""

from __future__ import annotations

from collections.abc import Callable
from weakref import WeakValueDictionary

from marbleworks.model import AttemptOutcome, LoadReport
from marbleworks.net.actor import LOG, Actor, clock
from marbleworks.net.addresses import SocketAddress
from marbleworks.net.messages import (
    AttemptCall,
    AttemptResult,
    EngineListing,
    EnginePort,
    NewRequest,
    OpenRequest,
)
from marbleworks.net.recent_request_ids import RecentRequestIds
from marbleworks.net.request_queue import DispatcherMailbox
from marbleworks.ports import RequestAdmission
from marbleworks.scheduling.idempotency import id_may_run_again
from marbleworks.scheduling.scheduler import Scheduler
from marbleworks.settings import Settings

_USED_ID_TIMEOUTS = 2.0  # times the longest client timeout, for which the id of a request is remembered
# Creates an engine's client from the dispatcher and the engine's name and address.
EngineClientFactory = Callable[["Dispatcher", str, SocketAddress], EnginePort]


class Dispatcher(Actor):
    """Connects the client sessions, the engine clients and the scheduler.

    Attributes:
        mailbox: Calls about work in progress, and new requests.
        settings: Settings of the deployment.
        make_engine_client: Creates the client of an engine.
        send_load_update: Sends a datagram with an engine's load to the other routers.
        used_ids: Ids of requests that may have run and must not run again.
        open_requests: Open requests, keyed by the request ids that clients chose.
        engine_clients: Clients of the listed engines, keyed by engine id.
        retired_clients: Clients of engines that have left the list, keyed by address; they end after their
            last attempts.
        shutdown_deadline: Unix time in seconds at which all requests are ended; None unless the router stops.
        admission: Admission controller; None where every request goes directly to the scheduler.
        scheduler: The scheduler.
    """

    mailbox: DispatcherMailbox

    def __init__(
        self,
        settings: Settings,
        seed: int,
        make_engine_client: EngineClientFactory,
        send_load_update: Callable[[bytes], None],
    ) -> None:
        self.settings = settings
        self.make_engine_client = make_engine_client
        self.send_load_update = send_load_update
        self.used_ids = RecentRequestIds(_USED_ID_TIMEOUTS * max(settings.client_timeouts_s))
        self.open_requests: dict[str, OpenRequest] = {}
        self.engine_clients: dict[int, EnginePort] = {}
        self.retired_clients: WeakValueDictionary[SocketAddress, EnginePort] = WeakValueDictionary()
        self.shutdown_deadline: float | None = None
        self.admission: RequestAdmission | None = None
        self.scheduler = Scheduler(self, seed, settings.request_classes, settings.rules, settings.fleet)
        super().__init__(DispatcherMailbox(self.submit))

    # New requests. The clients' sessions call the first two methods.

    def put_request(self, new_request: NewRequest) -> None:
        """Queues a new request, behind calls about work in progress."""
        self.mailbox.put_request(new_request)

    def withdraw_request(self, request: OpenRequest) -> bool:
        """Removes a request whose client has gone; returns False if it is no longer in the queue."""
        if not self.mailbox.requests.remove(request):
            return False
        request.release_resources()
        return True

    def submit(self, new_request: NewRequest) -> None:
        """Passes a new request to the admission controller if there is one, else to the scheduler."""
        request = new_request.request
        ref = request.ref
        if ref in self.open_requests:  # engines could not tell two open requests with one id apart
            self._refuse(request, "the request id is already in use")
            return
        if self.used_ids.contains(ref, clock()):
            self._refuse(request, "the request id was used before")
            return
        self.open_requests[ref] = request
        details = (
            new_request.table_group,
            new_request.ordering_key,
            new_request.estimate,
            new_request.tenant,
        )
        if self.admission is None:
            self.admit(ref, request, *details)
            return
        try:
            self.admission.enqueue(ref, request, *details)
        except Exception:
            is_undecided = self.open_requests.get(ref) is request and request.handle is None
            if is_undecided and not request.completed:
                # An exception in the admission controller fails only this request.
                self._drop_failed(ref, request)
            raise

    def _refuse(self, request: OpenRequest, reason: str) -> None:
        """Answers a request that does not become an open one with an error."""
        request.client.post(request.client.fail, request.call_id, reason)
        request.release_resources()

    def admit(
        self,
        ref: str,
        request: OpenRequest,
        table_group: int,
        ordering_key: str,
        estimate: tuple[float, float],
        tenant: int,
        retry_after_s: float | None = None,
    ) -> None:
        """Passes a request to the scheduler.

        Args:
            ref: Id of the request.
            request: The request.
            table_group: Table group of its statement; 0 for none.
            ordering_key: Requests with the same key run in order; empty for no order.
            estimate: Work in seconds and memory in MB that its client expects it to take.
            tenant: Index of its tenant.
            retry_after_s: Seconds after which the client may retry, if the admission controller has no room
                for the request now; None otherwise.
        """
        class_index = self.settings.class_index[request.class_name]
        deadline = request.deadline
        if self.shutdown_deadline is not None:
            deadline = min(deadline, self.shutdown_deadline)
        time_left_s = deadline - clock()
        try:
            if retry_after_s is None and request.reservation is not None:
                retry_after_s = request.reservation.retry_after_s
            request.handle = self.scheduler.submit(
                ref,
                class_index,
                table_group,
                ordering_key,
                estimate,
                tenant,
                request.received_at,
                time_left_s,
                retry_after_s,
            )
        finally:
            if request.handle is None:  # an exception in the scheduler fails only this request
                self._drop_failed(ref, request)
        self._forget_if_settled(ref)

    # Events reported by other actors.

    def on_client_disconnect(self, request: OpenRequest) -> None:
        """Handles that the client of a submitted request disconnected or cancelled the call.

        The request may be settled by now, and another request with the same id may be open.
        """
        if self.open_requests.get(request.ref) is not request:
            request.client.post(request.client.on_abandoned_request_settled, request)
            return
        if request.completed:
            return
        if self.admission is not None and self.admission.on_client_disconnect(request.ref):
            request.completed = True
            self._forget(request)
        elif request.handle is not None:
            request.completed = True
            request.handle.on_client_disconnect()
            self._forget_if_settled(request.ref)

    def on_answer(self, ref: str, attempt_no: int, result: AttemptResult) -> None:
        """Handles an attempt's result: the first one answers the request, others are discarded."""
        request = self.open_requests[ref]
        request.may_have_run = True
        if not request.completed:
            request.completed = True
            client = request.client
            client.put_answer(request.call_id, result.body, result.metadata)
        elif request.reservation is not None:
            request.reservation.discard_result(result.metadata)
        if request.handle is not None:
            request.handle.on_answer(attempt_no, result.usage, result.load_report)
        if self.admission is not None:
            self.admission.on_answer(ref, result.usage)
        self._forget_if_settled(ref)

    def on_attempt_end(
        self, ref: str, attempt_no: int, outcome: AttemptOutcome, load_report: LoadReport | None
    ) -> None:
        """Handles an attempt that ended without a result."""
        request = self.open_requests[ref]
        request.may_have_run |= not outcome.never_ran
        if request.handle is not None:
            request.handle.on_attempt_end(attempt_no, outcome, request.completed, load_report)
        self._forget_if_settled(ref)

    def on_contact_lost(self, ref: str, attempt_no: int, outcome: AttemptOutcome) -> None:
        """Handles an attempt that will end with this outcome, but that its engine may still be running."""
        request = self.open_requests.get(ref)
        if request is not None and request.handle is not None:
            request.handle.on_contact_lost(attempt_no, outcome)

    def on_result_not_stored(self, ref: str, attempt_no: int, retry_after_s: float) -> None:
        """Handles an attempt that ran, but whose result could not be stored for lack of space.

        That ends the request, since the result of another attempt could not be stored either.
        """
        request = self.open_requests[ref]
        request.may_have_run = True
        if request.handle is not None:
            if not request.completed:
                self.scheduler.give_up(request.handle, retry_after_s)
            request.handle.on_attempt_end(attempt_no, AttemptOutcome.CANCELLED, True, None)
        self._forget_if_settled(ref)

    def on_result_reading(self, ref: str, attempt_no: int) -> None:
        """Tells the scheduler that the pages of an attempt's result are being read."""
        request = self.open_requests.get(ref)
        if request is not None and request.handle is not None:
            request.handle.on_result_reading(attempt_no)

    def on_attempt_alive(self, ref: str, attempt_no: int) -> None:
        """Tells the scheduler that an engine answered a poll and the attempt is still running."""
        request = self.open_requests.get(ref)
        if request is not None and request.handle is not None:
            request.handle.on_progress(attempt_no, None)

    def update_engines(self, listings: list[EngineListing], is_complete: bool) -> None:
        """Applies a change of the engine list.

        Args:
            listings: Engines that are new or changed, or all engines.
            is_complete: Whether engines missing from `listings` have gone.
        """
        self._retire_engines(listings, is_complete)
        for entry, address in listings:
            if entry.is_removed:
                continue
            if entry.engine_id not in self.engine_clients:
                self._replace_retired(address)
                self.engine_clients[entry.engine_id] = self.make_engine_client(self, entry.name, address)
            engine_client = self.engine_clients[entry.engine_id]
            engine_client.post(engine_client.update_listing, entry.is_up, entry.started_at)
        self.scheduler.update_engines([entry for entry, _ in listings], is_complete)
        if self.scheduler.shared_budgets is not None:
            self.scheduler.shared_budgets.engines_changed()
        if self.admission is not None:
            self.admission.engines_changed()

    def on_descriptor_shortage(self, engine_client: EnginePort) -> None:
        """Asks all other engine clients for a descriptor, since this one has none and can get none."""
        for other in self.engine_clients.values():
            if other is not engine_client:
                other.post(other.hand_over_descriptor, engine_client)

    def stop(self, deadline: float) -> None:
        """Limits all requests, including new ones, to a deadline for their final answers.

        Args:
            deadline: Unix time in seconds.
        """
        self.shutdown_deadline = deadline
        self.next_timer_at = min(self.next_timer_at or deadline, deadline)

    def on_timer(self) -> None:
        """Runs the scheduler's timer, or ends all requests at the shutdown deadline."""
        if self.shutdown_deadline is not None and clock() >= self.shutdown_deadline:
            if self.admission is not None:
                self.admission.stop()
            for request in list(self.open_requests.values()):
                if not request.completed and request.handle is not None:
                    self.scheduler.give_up(request.handle)
        else:
            self.scheduler.on_timer()
            if self.shutdown_deadline is not None:
                self.next_timer_at = min(self.next_timer_at or self.shutdown_deadline, self.shutdown_deadline)

    def _retire_engines(self, listings: list[EngineListing], is_complete: bool) -> None:
        """Retires the clients of engines that have gone or moved; each ends after its last attempt."""
        addresses = {entry.engine_id: address for entry, address in listings if not entry.is_removed}
        listed_ids = {entry.engine_id for entry, _ in listings}
        affected = listed_ids | (self.engine_clients.keys() if is_complete else set())
        for engine_id in affected & self.engine_clients.keys():
            if addresses.get(engine_id) != self.engine_clients[engine_id].address:
                engine_client = self.engine_clients.pop(engine_id)
                engine_client.post(engine_client.retire)
                self.retired_clients[engine_client.address] = engine_client

    def _replace_retired(self, address: SocketAddress) -> None:
        """Stops the client of an engine that had this address, since another engine has it now."""
        engine_client = self.retired_clients.pop(address, None)
        if engine_client is not None:
            engine_client.post(engine_client.replace)

    def _drop_failed(self, ref: str, request: OpenRequest) -> None:
        request.client.post(request.client.fail, request.call_id, "failed")
        self._forget(request)

    def _forget_if_settled(self, ref: str) -> None:
        request = self.open_requests.get(ref)
        if request is not None and request.handle is not None and request.handle.settled:
            self._forget(request)
            if self.admission is not None:
                self.admission.on_final_answer(ref, False)

    def _forget(self, request: OpenRequest) -> None:
        """Drops a request that has its final answer and no attempt in flight."""
        del self.open_requests[request.ref]
        request_class = self.settings.request_classes[self.settings.class_index[request.class_name]]
        if request.may_have_run and not id_may_run_again(request_class):
            self.used_ids.add(request.ref, clock())
        request.release_resources()
        if request.client_gone:
            request.client.post(request.client.on_abandoned_request_settled, request)

    # Calls from the scheduler (implements marbleworks.ports.SchedulerPort).

    def now(self) -> float:
        """Returns the scheduler's clock: Unix time in seconds."""
        return clock()

    def start_attempt(self, ref: str, engine_id: int, deadline: float, begin_by: float) -> None:
        """Starts the next attempt of a request on an engine.

        Args:
            ref: Id of the request.
            engine_id: Id of the engine.
            deadline: Unix time in seconds by which the attempt has to end.
            begin_by: Unix time in seconds after which the attempt must not be sent any more.
        """
        request = self.open_requests[ref]
        engine_client = self.engine_clients[engine_id]
        attempt = AttemptCall(
            ref,
            attempt_no=len(request.attempt_engines),
            class_name=request.class_name,
            statement=request.statement,
            memory_mb=request.memory_mb,
            deadline=deadline,
            reservation=request.reservation,
            begin_by=begin_by,
            is_wanted=request.is_wanted,
            may_hide_disconnect=request.may_hide_disconnect,
        )
        request.attempt_engines.append(engine_client)
        engine_client.post(engine_client.start_attempt, attempt)

    def cancel_attempt(self, ref: str, attempt_no: int) -> None:
        """Cancels an attempt of a request."""
        engine_client = self.open_requests[ref].attempt_engines[attempt_no]
        engine_client.post(engine_client.cancel_attempt, ref, attempt_no)

    def set_attempt_terms(self, ref: str, priority: int, memory_mb: float) -> None:
        """Grants memory in MB to the attempts that start later; the protocol has no field for a priority."""
        self.open_requests[ref].memory_mb = round(memory_mb)

    def shed(self, ref: str, retry_after_s: float) -> None:
        """Rejects a request.

        Args:
            ref: Id of the request.
            retry_after_s: Seconds after which the client may retry; 0 if the answer gives no time.
        """
        request = self.open_requests[ref]
        request.completed = True
        request.client.post(request.client.shed, request.call_id, retry_after_s)
        if self.admission is not None:
            self.post(self.admission.on_final_answer, ref, True)
        # Posted, since the scheduler settles the request after this call.
        self.post(self._forget_if_settled, ref)

    def fail(self, ref: str) -> None:
        """Answers a request with an error."""
        request = self.open_requests[ref]
        request.completed = True
        request.client.post(request.client.fail, request.call_id, "failed")
        # Posted, since the scheduler settles the request after this call.
        self.post(self._forget_if_settled, ref)

    def probe_load(self, engine_id: int) -> None:
        """Does nothing, since the protocol has no call for an engine's load; responses report the load."""

    def broadcast(self, data: bytes) -> None:
        """Sends a load update to the other routers."""
        self.send_load_update(data)

    def schedule_wakeup(self, at: float) -> None:
        """Has `on_timer` called no later than `at` (Unix time in seconds)."""
        self.next_timer_at = min(self.next_timer_at or at, at)

    def log(self, text: str) -> None:
        """Logs a decision of the scheduler."""
        LOG.info("scheduler decision", what=text)
