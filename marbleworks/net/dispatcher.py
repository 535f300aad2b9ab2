"""The desk: the actor of the decision module, which alone calls the Gateway and its handles.

It owns what a command needs on its way: who asked, the statement, the memory granted. It is the Port, passes
on what the gateway asks for, and must never decide anything, block, or give a command a second final answer.
"""

from __future__ import annotations

from collections.abc import Callable

from marbleworks.model import Ending, EngineEntry, LoadReport
from marbleworks.net.actor import LOG, Actor, clock
from marbleworks.net.messages import Good, Open, Place, Send
from marbleworks.ports import Doorkeeper
from marbleworks.scheduling.scheduler import Gateway
from marbleworks.settings import Deployment

MakePlace = Callable[["Desk", str, tuple[str, int]], Place]  # an engine's actor, by its name and address


class Desk(Actor):
    def __init__(
        self, deployment: Deployment, seed: int, make_place: MakePlace, tell: Callable[[bytes], None]
    ) -> None:
        self.deployment, self.make_place, self.tell = deployment, make_place, tell
        self.open: dict[str, Open] = {}
        self.engines: dict[int, Place] = {}
        self.stop_by: float | None = None
        self.door: Doorkeeper | None = None
        self.gateway = Gateway(self, seed, deployment.profile_list, deployment.rules, deployment.fleet)
        super().__init__()

    # What the others tell.

    def take(self, ref: str, new: Open, group: int, key: str, told: tuple[float, float], tenant: int) -> None:
        if new.left:  # its client was ahead of it
            _close(new)
            return
        if ref in self.open:  # a client's id is new with every command, or the engine would mix them up
            new.client.post(new.client.fail, new.call, "the id is in use")
            _close(new)
            return
        self.open[ref] = new
        if self.door is None:
            self.admit(ref, new, group, key, told, tenant)
        else:
            try:
                self.door.take(ref, new, group, key, told, tenant)
            except Exception:
                if self.open.get(ref) is new and new.handle is None and not new.over:
                    del self.open[ref]  # a mistake at the door costs this command alone
                    new.client.post(new.client.fail, new.call, "failed")
                    _close(new)
                raise

    def admit(
        self,
        ref: str,
        new: Open,
        group: int,
        key: str,
        told: tuple[float, float],
        tenant: int,
        wait: float | None = None,
    ) -> None:
        """Hands a command to the decisions. wait: the seconds after which it may come back, where the door
        says that there is no room for it now."""
        profile = self.deployment.profiles[new.profile]
        deadline = new.deadline if self.stop_by is None else min(new.deadline, self.stop_by)
        left = deadline - clock()
        try:
            if wait is None and new.tray is not None:
                wait = new.tray.wait
            new.handle = self.gateway.take(ref, profile, group, key, told, tenant, new.came, left, wait)
        finally:
            if new.handle is None:  # a mistake in the module costs this command alone
                del self.open[ref]
                new.client.post(new.client.fail, new.call, "failed")
                _close(new)
        self._forget(ref)

    def client_left(self, command: Open) -> None:
        """Its client has closed or cancelled. Goes before new commands, so the command itself may still be
        in the mailbox; another of the same id may be open."""
        command.client.post(command.client.forget, command)
        if self.open.get(command.ref) is not command or command.over:
            return
        if self.door is not None and self.door.left(command.ref):
            command.over = True
            del self.open[command.ref]
            _close(command)
        elif command.handle is not None:
            command.over = True
            command.handle.client_left()
            self._forget(command.ref)

    def answered(self, ref: str, send_no: int, good: Good) -> None:
        command = self.open[ref]
        if not command.over:
            command.over = True
            command.client.post(command.client.answer, command.call, bytes(good.body), good.told)
        elif command.tray is not None:
            command.tray.unwanted(good.told)
        if command.handle is not None:
            command.handle.answered(send_no, good.need, good.report)
        if self.door is not None:
            self.door.answered(ref, good.need)
        self._forget(ref)

    def ended(self, ref: str, send_no: int, how: Ending, report: LoadReport | None) -> None:
        command = self.open[ref]
        if command.handle is not None:
            command.handle.ended(send_no, how, command.over, report)
        self._forget(ref)

    def not_kept(self, ref: str, send_no: int, wait: float) -> None:
        """The result ran and has no place: that ends the command, since the next one would have none
        either."""
        command = self.open[ref]
        if command.handle is not None:
            if not command.over:
                self.gateway.give_up(command.handle, wait)
            command.handle.ended(send_no, Ending.CANCELLED, True, None)
        self._forget(ref)

    def reading(self, ref: str, send_no: int) -> None:
        command = self.open.get(ref)
        if command is not None and command.handle is not None:
            command.handle.reading(send_no)

    def still_out(self, ref: str, send_no: int) -> None:
        command = self.open.get(ref)
        if command is not None and command.handle is not None:
            command.handle.progressed(send_no, None)

    def listed(self, engines: list[tuple[EngineEntry, tuple[str, int]]], whole: bool) -> None:
        left = {entry.be: address for entry, address in engines if not entry.gone}
        gone = {entry.be for entry, _ in engines} | (self.engines.keys() if whole else set())
        for be in [be for be in gone & self.engines.keys() if left.get(be) != self.engines[be].address]:
            engine = self.engines.pop(be)  # lives on for as long as a send there does
            engine.post(engine.retire)
        for entry, address in engines:
            if entry.be in left:
                if entry.be not in self.engines:
                    self.engines[entry.be] = self.make_place(self, entry.name, address)
                engine = self.engines[entry.be]
                engine.post(engine.listed, entry.up, entry.started)
        self.gateway.listed([entry for entry, _ in engines], whole)
        if self.gateway.allotment is not None:
            self.gateway.allotment.listed()
        if self.door is not None:
            self.door.listed()

    def short_of_descriptors(self, engine: Place) -> None:
        for other in self.engines.values():
            if other is not engine:
                other.post(other.spare, engine)

    def stop(self, by: float) -> None:
        """Everything gets its final answer by then; what still comes is taken for no longer."""
        self.stop_by = by
        self.due = min(self.due or by, by)

    def rung(self) -> None:
        if self.stop_by is not None and clock() >= self.stop_by:
            if self.door is not None:
                self.door.stop()
            for command in list(self.open.values()):
                if not command.over and command.handle is not None:
                    self.gateway.give_up(command.handle)
        else:
            self.gateway.awake()
            if self.stop_by is not None:
                self.due = min(self.due or self.stop_by, self.stop_by)

    def _forget(self, ref: str) -> None:
        command = self.open.get(ref)
        if command is not None and command.handle is not None and command.handle.settled:
            del self.open[ref]
            _close(command)
            if self.door is not None:
                self.door.over(ref, False)

    # What the gateway asks for.

    def now(self) -> float:
        return clock()

    def send(self, ref: str, be: int, until: float, begin_by: float) -> None:
        command, engine = self.open[ref], self.engines[be]
        send = Send(ref, len(command.engines), command.profile, command.statement, command.memory, until)
        send.tray, send.begin_by, send.wanted = command.tray, begin_by, command.wanted
        command.engines.append(engine)
        engine.post(engine.send, send)

    def cancel(self, ref: str, send_no: int) -> None:
        engine = self.open[ref].engines[send_no]
        engine.post(engine.cancel, ref, send_no)

    def set_terms(self, ref: str, priority: int, memory: float) -> None:
        self.open[ref].memory = round(memory)  # there is no field for a priority

    def shed(self, ref: str, come_back: float) -> None:
        command = self.open[ref]
        command.over = True
        command.client.post(command.client.shed, command.call, come_back)
        if self.door is not None:
            self.post(self.door.over, ref, True)
        self.post(self._forget, ref)  # the module closes it after this

    def fail(self, ref: str) -> None:
        command = self.open[ref]
        command.over = True
        command.client.post(command.client.fail, command.call, "failed")
        self.post(self._forget, ref)

    def probe(self, be: int) -> None:
        """There is no call that asks an engine for its load: it comes with answers."""

    def tell_peers(self, data: bytes) -> None:
        self.tell(data)

    def wake(self, at: float) -> None:
        self.due = min(self.due or at, at)

    def log(self, text: str) -> None:
        LOG.info("decided", what=text)


def _close(command: Open) -> None:
    if command.tray is not None:
        command.tray.close()
