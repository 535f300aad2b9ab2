"""The actor of the decisions: it alone calls the scheduler and the requests' handles there.

It holds what a request needs on its way: its client, its statement, the memory granted to it. It is the
scheduler's port and does what the scheduler asks; it decides nothing, blocks nowhere, and gives a request one
final answer.
"""

from __future__ import annotations

from collections.abc import Callable

from marbleworks.model import AttemptOutcome, LoadReport
from marbleworks.net.actor import LOG, Actor, clock
from marbleworks.net.addresses import SocketAddress
from marbleworks.net.messages import AttemptCall, AttemptResult, EngineListing, EnginePort, OpenRequest
from marbleworks.ports import RequestAdmission
from marbleworks.scheduling.scheduler import Scheduler
from marbleworks.settings import Settings

# Makes an engine's client, by the engine's name and address.
EngineClientFactory = Callable[["Dispatcher", str, SocketAddress], EnginePort]


class Dispatcher(Actor):
    """Joins the client sessions, the engine clients and the scheduler.

    send_load_update: sends a datagram with an engine's load to the other routers.
    """

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
        self.open_requests: dict[str, OpenRequest] = {}  # by the client's id for it
        self.engine_clients: dict[int, EnginePort] = {}  # by engine id
        self.shutdown_deadline: float | None = None  # Unix time; None while the router is to go on
        self.admission: RequestAdmission | None = None
        self.scheduler = Scheduler(self, seed, settings.request_classes, settings.rules, settings.fleet)
        super().__init__()

    # What the others report.

    def submit(
        self, ref: str, request: OpenRequest, group: int, key: str, declared: tuple[float, float], tenant: int
    ) -> None:
        """Takes a new request: to the admission where there is one, else to the scheduler.

        group: the table group of its statement, 0: none. key: requests of one key run in order, "": any.
        declared: the work in seconds and the
        memory in MB that its client expects it to take. tenant: an index.
        """
        if request.client_gone:  # its leaving was read before this mail
            _release(request)
            return
        if ref in self.open_requests:  # ids are new with every request, or engines would mix them up
            request.client.post(request.client.fail, request.call_id, "the id is in use")
            _release(request)
            return
        self.open_requests[ref] = request
        if self.admission is None:
            self.admit(ref, request, group, key, declared, tenant)
            return
        try:
            self.admission.enqueue(ref, request, group, key, declared, tenant)
        except Exception:
            is_undecided = self.open_requests.get(ref) is request and request.handle is None
            if is_undecided and not request.completed:
                self._drop_failed(ref, request)  # a mistake in the admission costs this request alone
            raise

    def admit(
        self,
        ref: str,
        request: OpenRequest,
        group: int,
        key: str,
        declared: tuple[float, float],
        tenant: int,
        wait: float | None = None,
    ) -> None:
        """Hands a request to the scheduler.

        wait: the seconds after which it may be retried, where the admission has no room for it now.
        """
        class_index = self.settings.class_index[request.class_name]
        deadline = request.deadline
        if self.shutdown_deadline is not None:
            deadline = min(deadline, self.shutdown_deadline)
        time_left_s = deadline - clock()
        try:
            if wait is None and request.reservation is not None:
                wait = request.reservation.retry_after_s
            request.handle = self.scheduler.submit(
                ref, class_index, group, key, declared, tenant, request.received_at, time_left_s, wait
            )
        finally:
            if request.handle is None:  # a mistake in the scheduler costs this request alone
                self._drop_failed(ref, request)
        self._forget_if_settled(ref)

    def on_client_disconnect(self, request: OpenRequest) -> None:
        """Its client has closed or cancelled.

        This comes before new requests, so the request itself may still be in the mailbox, and another of the
        same id may be open.
        """
        request.client.post(request.client.forget, request)
        if self.open_requests.get(request.ref) is not request or request.completed:
            return
        if self.admission is not None and self.admission.on_client_disconnect(request.ref):
            request.completed = True
            del self.open_requests[request.ref]
            _release(request)
        elif request.handle is not None:
            request.completed = True
            request.handle.on_client_disconnect()
            self._forget_if_settled(request.ref)

    def on_answer(self, ref: str, attempt_no: int, result: AttemptResult) -> None:
        """An attempt has brought a result: the first answers the request, others are discarded."""
        request = self.open_requests[ref]
        if not request.completed:
            request.completed = True
            client = request.client
            client.post(client.answer, request.call_id, bytes(result.body), result.metadata)
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
        """An attempt has ended without a result."""
        request = self.open_requests[ref]
        if request.handle is not None:
            request.handle.on_attempt_end(attempt_no, outcome, request.completed, load_report)
        self._forget_if_settled(ref)

    def on_result_not_stored(self, ref: str, attempt_no: int, retry_after_s: float) -> None:
        """An attempt ran and its result found no room.

        That ends the request, since the result of another attempt would find none either.
        """
        request = self.open_requests[ref]
        if request.handle is not None:
            if not request.completed:
                self.scheduler.give_up(request.handle, retry_after_s)
            request.handle.on_attempt_end(attempt_no, AttemptOutcome.CANCELLED, True, None)
        self._forget_if_settled(ref)

    def on_result_reading(self, ref: str, attempt_no: int) -> None:
        """The pages of an attempt's result are being read."""
        request = self.open_requests.get(ref)
        if request is not None and request.handle is not None:
            request.handle.on_result_reading(attempt_no)

    def on_attempt_alive(self, ref: str, attempt_no: int) -> None:
        """The engine has answered a poll: the attempt has not ended."""
        request = self.open_requests.get(ref)
        if request is not None and request.handle is not None:
            request.handle.on_progress(attempt_no, None)

    def update_engines(self, listings: list[EngineListing], is_complete: bool) -> None:
        """The list of engines has changed; is_complete: engines that it does not name have gone."""
        self._retire_engines(listings, is_complete)
        for entry, address in listings:
            if entry.is_gone:
                continue
            if entry.engine_id not in self.engine_clients:
                self.engine_clients[entry.engine_id] = self.make_engine_client(self, entry.name, address)
            engine_client = self.engine_clients[entry.engine_id]
            engine_client.post(engine_client.update_entry, entry.is_up, entry.started_at)
        self.scheduler.update_engines([entry for entry, _ in listings], is_complete)
        if self.scheduler.shared_budgets is not None:
            self.scheduler.shared_budgets.engines_changed()
        if self.admission is not None:
            self.admission.engines_changed()

    def on_descriptor_shortage(self, engine_client: EnginePort) -> None:
        """An engine's client has no descriptor and can get none: every other is asked for one."""
        for other in self.engine_clients.values():
            if other is not engine_client:
                other.post(other.hand_over_descriptor, engine_client)

    def stop(self, deadline: float) -> None:
        """Gives every request its final answer by the deadline, also those that are still to come."""
        self.shutdown_deadline = deadline
        self.wake_at = min(self.wake_at or deadline, deadline)

    def on_timer(self) -> None:
        """Lets the scheduler do what is due, or ends everything at the shutdown deadline."""
        if self.shutdown_deadline is not None and clock() >= self.shutdown_deadline:
            if self.admission is not None:
                self.admission.stop()
            for request in list(self.open_requests.values()):
                if not request.completed and request.handle is not None:
                    self.scheduler.give_up(request.handle)
        else:
            self.scheduler.on_timer()
            if self.shutdown_deadline is not None:
                self.wake_at = min(self.wake_at or self.shutdown_deadline, self.shutdown_deadline)

    def _retire_engines(self, listings: list[EngineListing], is_complete: bool) -> None:
        """Parts from the clients of engines that have gone or moved; each lives on until its last attempt."""
        addresses = {entry.engine_id: address for entry, address in listings if not entry.is_gone}
        named = {entry.engine_id for entry, _ in listings}
        affected = named | (self.engine_clients.keys() if is_complete else set())
        for engine_id in affected & self.engine_clients.keys():
            if addresses.get(engine_id) != self.engine_clients[engine_id].address:
                engine_client = self.engine_clients.pop(engine_id)
                engine_client.post(engine_client.retire)

    def _drop_failed(self, ref: str, request: OpenRequest) -> None:
        del self.open_requests[ref]
        request.client.post(request.client.fail, request.call_id, "failed")
        _release(request)

    def _forget_if_settled(self, ref: str) -> None:
        request = self.open_requests.get(ref)
        if request is not None and request.handle is not None and request.handle.settled:
            del self.open_requests[ref]
            _release(request)
            if self.admission is not None:
                self.admission.on_final_answer(ref, False)

    # What the scheduler asks: marbleworks.ports.SchedulerPort.

    def now(self) -> float:
        """The time that the scheduler goes by."""
        return clock()

    def start_attempt(self, ref: str, engine_id: int, deadline: float, begin_by: float) -> None:
        """Starts the next attempt of a request, at an engine."""
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
        )
        request.attempt_engines.append(engine_client)
        engine_client.post(engine_client.start_attempt, attempt)

    def cancel_attempt(self, ref: str, attempt_no: int) -> None:
        """Cancels an attempt."""
        engine_client = self.open_requests[ref].attempt_engines[attempt_no]
        engine_client.post(engine_client.cancel_attempt, ref, attempt_no)

    def set_attempt_terms(self, ref: str, priority: int, memory_mb: float) -> None:
        """Grants memory to the attempts to come; the protocol has no field for a priority."""
        self.open_requests[ref].memory_mb = round(memory_mb)

    def shed(self, ref: str, retry_after_s: float) -> None:
        """Rejects a request; its client may retry after so many seconds, 0: none are named."""
        request = self.open_requests[ref]
        request.completed = True
        request.client.post(request.client.shed, request.call_id, retry_after_s)
        if self.admission is not None:
            self.post(self.admission.on_final_answer, ref, True)
        self.post(self._forget_if_settled, ref)  # the scheduler settles it after this call

    def fail(self, ref: str) -> None:
        """Answers a request with an error."""
        request = self.open_requests[ref]
        request.completed = True
        request.client.post(request.client.fail, request.call_id, "failed")
        self.post(self._forget_if_settled, ref)  # as above

    def probe_load(self, engine_id: int) -> None:
        """Does nothing: the protocol has no call that asks for an engine's load, which comes with results."""

    def broadcast(self, data: bytes) -> None:
        """Sends a load update to the other routers."""
        self.send_load_update(data)

    def schedule_wakeup(self, at: float) -> None:
        """Has `on_timer` called at this time at the latest."""
        self.wake_at = min(self.wake_at or at, at)

    def log(self, text: str) -> None:
        """Logs a decision."""
        LOG.info("scheduler decision", what=text)


def _release(request: OpenRequest) -> None:
    """Gives back the room that was reserved for its result."""
    if request.reservation is not None:
        request.reservation.release()
