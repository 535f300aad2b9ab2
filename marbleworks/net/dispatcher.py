"""The desk: the actor of the decision module, which alone calls the Gateway and its handles.

It owns what a command needs on its way: who asked, the statement, the memory granted. It is the Port, passes
on what the gateway asks for, and must never decide anything, block, or give a command a second final answer.
"""

from __future__ import annotations

from collections.abc import Callable

from marbleworks.model import AttemptOutcome, EngineEntry, LoadReport
from marbleworks.net.actor import LOG, Actor, clock
from marbleworks.net.messages import AttemptCall, AttemptResult, EnginePort, OpenRequest
from marbleworks.ports import RequestAdmission
from marbleworks.scheduling.scheduler import Scheduler
from marbleworks.settings import Settings

EngineClientFactory = Callable[
    ["Dispatcher", str, tuple[str, int]], EnginePort
]  # an engine's actor, by its name and address


class Dispatcher(Actor):
    def __init__(
        self, deployment: Settings, seed: int, make_place: EngineClientFactory, tell: Callable[[bytes], None]
    ) -> None:
        self.settings, self.make_engine_client, self.tell = deployment, make_place, tell
        self.open_requests: dict[str, OpenRequest] = {}
        self.engine_clients: dict[int, EnginePort] = {}
        self.stop_by: float | None = None
        self.admission: RequestAdmission | None = None
        self.scheduler = Scheduler(self, seed, deployment.request_classes, deployment.rules, deployment.fleet)
        super().__init__()

    # What the others tell.

    def submit(
        self, ref: str, new: OpenRequest, group: int, key: str, told: tuple[float, float], tenant: int
    ) -> None:
        if new.left:  # its client was ahead of it
            _close(new)
            return
        if (
            ref in self.open_requests
        ):  # a client's id is new with every command, or the engine would mix them up
            new.client.post(new.client.fail, new.call, "the id is in use")
            _close(new)
            return
        self.open_requests[ref] = new
        if self.admission is None:
            self.admit(ref, new, group, key, told, tenant)
        else:
            try:
                self.admission.enqueue(ref, new, group, key, told, tenant)
            except Exception:
                if self.open_requests.get(ref) is new and new.handle is None and not new.over:
                    del self.open_requests[ref]  # a mistake at the door costs this command alone
                    new.client.post(new.client.fail, new.call, "failed")
                    _close(new)
                raise

    def admit(
        self,
        ref: str,
        new: OpenRequest,
        group: int,
        key: str,
        told: tuple[float, float],
        tenant: int,
        wait: float | None = None,
    ) -> None:
        """Hands a command to the decisions. wait: the seconds after which it may come back, where the door
        says that there is no room for it now."""
        profile = self.settings.class_index[new.profile]
        deadline = new.deadline if self.stop_by is None else min(new.deadline, self.stop_by)
        left = deadline - clock()
        try:
            if wait is None and new.tray is not None:
                wait = new.tray.retry_after_s
            new.handle = self.scheduler.submit(ref, profile, group, key, told, tenant, new.came, left, wait)
        finally:
            if new.handle is None:  # a mistake in the module costs this command alone
                del self.open_requests[ref]
                new.client.post(new.client.fail, new.call, "failed")
                _close(new)
        self._forget(ref)

    def on_client_disconnect(self, command: OpenRequest) -> None:
        """Its client has closed or cancelled. Goes before new commands, so the command itself may still be
        in the mailbox; another of the same id may be open."""
        command.client.post(command.client.forget, command)
        if self.open_requests.get(command.ref) is not command or command.over:
            return
        if self.admission is not None and self.admission.on_client_disconnect(command.ref):
            command.over = True
            del self.open_requests[command.ref]
            _close(command)
        elif command.handle is not None:
            command.over = True
            command.handle.on_client_disconnect()
            self._forget(command.ref)

    def on_answer(self, ref: str, send_no: int, good: AttemptResult) -> None:
        command = self.open_requests[ref]
        if not command.over:
            command.over = True
            command.client.post(command.client.answer, command.call, bytes(good.body), good.told)
        elif command.tray is not None:
            command.tray.discard_result(good.told)
        if command.handle is not None:
            command.handle.on_answer(send_no, good.need, good.report)
        if self.admission is not None:
            self.admission.on_answer(ref, good.need)
        self._forget(ref)

    def on_attempt_end(self, ref: str, send_no: int, how: AttemptOutcome, report: LoadReport | None) -> None:
        command = self.open_requests[ref]
        if command.handle is not None:
            command.handle.on_attempt_end(send_no, how, command.over, report)
        self._forget(ref)

    def on_result_not_stored(self, ref: str, send_no: int, wait: float) -> None:
        """The result ran and has no place: that ends the command, since the next one would have none
        either."""
        command = self.open_requests[ref]
        if command.handle is not None:
            if not command.over:
                self.scheduler.give_up(command.handle, wait)
            command.handle.on_attempt_end(send_no, AttemptOutcome.CANCELLED, True, None)
        self._forget(ref)

    def on_result_reading(self, ref: str, send_no: int) -> None:
        command = self.open_requests.get(ref)
        if command is not None and command.handle is not None:
            command.handle.on_result_reading(send_no)

    def on_attempt_alive(self, ref: str, send_no: int) -> None:
        command = self.open_requests.get(ref)
        if command is not None and command.handle is not None:
            command.handle.on_progress(send_no, None)

    def update_engines(self, engines: list[tuple[EngineEntry, tuple[str, int]]], whole: bool) -> None:
        left = {entry.engine_id: address for entry, address in engines if not entry.is_gone}
        gone = {entry.engine_id for entry, _ in engines} | (self.engine_clients.keys() if whole else set())
        for be in [
            be for be in gone & self.engine_clients.keys() if left.get(be) != self.engine_clients[be].address
        ]:
            engine = self.engine_clients.pop(be)  # lives on for as long as a send there does
            engine.post(engine.retire)
        for entry, address in engines:
            if entry.engine_id in left:
                if entry.engine_id not in self.engine_clients:
                    self.engine_clients[entry.engine_id] = self.make_engine_client(self, entry.name, address)
                engine = self.engine_clients[entry.engine_id]
                engine.post(engine.listed, entry.is_up, entry.started_at)
        self.scheduler.update_engines([entry for entry, _ in engines], whole)
        if self.scheduler.shared_budgets is not None:
            self.scheduler.shared_budgets.engines_changed()
        if self.admission is not None:
            self.admission.engines_changed()

    def short_of_descriptors(self, engine: EnginePort) -> None:
        for other in self.engine_clients.values():
            if other is not engine:
                other.post(other.spare, engine)

    def stop(self, by: float) -> None:
        """Everything gets its final answer by then; what still comes is taken for no longer."""
        self.stop_by = by
        self.wake_at = min(self.wake_at or by, by)

    def on_timer(self) -> None:
        if self.stop_by is not None and clock() >= self.stop_by:
            if self.admission is not None:
                self.admission.stop()
            for command in list(self.open_requests.values()):
                if not command.over and command.handle is not None:
                    self.scheduler.give_up(command.handle)
        else:
            self.scheduler.on_timer()
            if self.stop_by is not None:
                self.wake_at = min(self.wake_at or self.stop_by, self.stop_by)

    def _forget(self, ref: str) -> None:
        command = self.open_requests.get(ref)
        if command is not None and command.handle is not None and command.handle.settled:
            del self.open_requests[ref]
            _close(command)
            if self.admission is not None:
                self.admission.on_final_answer(ref, False)

    # What the gateway asks for.

    def now(self) -> float:
        return clock()

    def start_attempt(self, ref: str, engine_id: int, deadline: float, begin_by: float) -> None:
        command, engine = self.open_requests[ref], self.engine_clients[engine_id]
        send = AttemptCall(
            ref, len(command.engines), command.profile, command.statement, command.memory, deadline
        )
        send.tray, send.begin_by, send.wanted = command.tray, begin_by, command.wanted
        command.engines.append(engine)
        engine.post(engine.send, send)

    def cancel_attempt(self, ref: str, attempt_no: int) -> None:
        engine = self.open_requests[ref].engines[attempt_no]
        engine.post(engine.cancel, ref, attempt_no)

    def set_attempt_terms(self, ref: str, priority: int, memory_mb: float) -> None:
        self.open_requests[ref].memory = round(memory_mb)  # there is no field for a priority

    def shed(self, ref: str, retry_after_s: float) -> None:
        command = self.open_requests[ref]
        command.over = True
        command.client.post(command.client.shed, command.call, retry_after_s)
        if self.admission is not None:
            self.post(self.admission.on_final_answer, ref, True)
        self.post(self._forget, ref)  # the module closes it after this

    def fail(self, ref: str) -> None:
        command = self.open_requests[ref]
        command.over = True
        command.client.post(command.client.fail, command.call, "failed")
        self.post(self._forget, ref)

    def probe_load(self, engine_id: int) -> None:
        """There is no call that asks an engine for its load: it comes with answers."""

    def broadcast(self, data: bytes) -> None:
        self.tell(data)

    def schedule_wakeup(self, at: float) -> None:
        self.wake_at = min(self.wake_at or at, at)

    def log(self, text: str) -> None:
        LOG.info("decided", what=text)


def _close(command: OpenRequest) -> None:
    if command.tray is not None:
        command.tray.release()
