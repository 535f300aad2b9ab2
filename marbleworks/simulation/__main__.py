"""Runs one gateway for each router of the simulation, sharing nothing between them."""

from __future__ import annotations

import json
import math
import sys
from collections.abc import Callable, Iterable
from typing import TextIO

from marbleworks.scheduling.request_state import RequestState
from marbleworks.scheduling.scheduler import Scheduler
from marbleworks.settings import Settings, SettingsError
from marbleworks.simulation.wire import ENDINGS, Line, WireError, action, batches, entry, ms, need, report


def deployment(line: Line) -> Settings:
    try:
        return Settings(json.loads(line.tail))
    except (ValueError, SettingsError) as err:
        raise WireError(f"provision: profile_data: {err}") from None


ROUNDED = 1e-5  # seconds by which a time on the wire may differ from ours


class Router:
    """The port of one router, and the names the wire has for what its gateway knows by index."""

    def __init__(self, line: Line, clock: Callable[[], float]) -> None:
        self.now = clock
        self.out: list[str] = []
        self.deployment = deployment(line)
        self.engines: dict[str, int] = {}
        self.addresses: list[str] = []
        self.commands: dict[str, RequestState] = {}
        self.due = math.inf  # of the timers that were asked for, and can't be called off, the one that counts
        self.gateway = Scheduler(
            self,
            line.whole("salt"),
            self.deployment.request_classes,
            self.deployment.rules,
            self.deployment.fleet,
        )

    # What the gateway asks for.

    def start_attempt(self, ref: str, engine_id: int, deadline: float, begin_by: float) -> None:
        self.out.append(action("relay", handle=ref, cut_at_ms=ms(deadline), engine=self.addresses[engine_id]))

    def cancel_attempt(self, ref: str, attempt_no: int) -> None:
        self.out.append(action("revoke", handle=ref, seq_no=attempt_no))

    def set_attempt_terms(self, ref: str, priority: int, memory_mb: float) -> None:
        self.out.append(action("tune", handle=ref, rank=priority, allot_mb=f"{memory_mb:.0f}"))

    def shed(self, ref: str, retry_after_s: float) -> None:
        self.out.append(
            action("refuse", handle=ref, retry_after_ms=ms(retry_after_s) if retry_after_s else None)
        )

    def fail(self, ref: str) -> None:
        self.out.append(action("report_failure", handle=ref))

    def probe_load(self, engine_id: int) -> None:
        self.out.append(action("poll", engine=self.addresses[engine_id]))

    def broadcast(self, data: bytes) -> None:
        self.out.append(action("say", whom=-1, body=data.hex() or "-"))

    def schedule_wakeup(self, at: float) -> None:
        if at < self.due:
            self.due = at
            self.out.append(action("wake_me", ctx=0, due_at_ms=ms(at)))

    def log(self, text: str) -> None:
        self.out.append(action("say_log", msg=text))

    # What the wire tells.

    def engine(self, line: Line) -> int:
        name = line.text("engine")
        if name not in self.engines:
            self.engines[name] = len(self.addresses)
            self.addresses.append(name)
        return self.engines[name]

    def hear(self, line: Line, rosters: dict[int, list[Line]]) -> None:
        name = line.name
        if name == "work_item":
            self._take(line)
        elif name in ("reply", "interim"):
            cmd = self.commands.get(line.text("handle"))
            if cmd is not None:
                (self._ended if name == "reply" else self._note)(cmd, line)
        elif name == "timer":
            if self.now() >= self.due - ROUNDED:
                self.due = math.inf
                self.gateway.on_timer()
        elif name == "peers_known":
            self._listed(line, rosters)
        elif name == "aborted":
            cmd = self.commands.get(line.text("handle"))
            if cmd is not None:
                cmd.on_client_disconnect()
        elif name == "health_result":
            reached = line.text("disposition") == "delivered"
            self.gateway.on_probe_result(self.engine(line), reached, report(line, self.deployment))
        elif name == "heard":
            body = line.text("body")
            try:
                data = b"" if body == "-" else bytes.fromhex(body)
            except ValueError:
                raise WireError(f"heard: body={body[:40]!r} is not hex") from None
            self.gateway.receive_load_update(line.whole("from"), data)
        elif name != "first":  # streams are not among the profiles of this service
            raise WireError(f"{name[:40]}: not a known message")
        if name == "timer":
            self.commands = {ref: cmd for ref, cmd in self.commands.items() if not cmd.settled}

    def _take(self, line: Line) -> None:
        ref = line.text("handle")
        tenant = line.parts.get("org", "0")
        self.commands[ref] = self.gateway.submit(
            ref,
            class_index=line.choice("cls", self.deployment.class_index),
            table_group=int(line.number("schema_no", 0.0)),
            ordering_key=line.parts.get("relation", ""),
            estimate=(line.seconds("est_cost_ms", 0.0), line.number("footprint_mb", 0.0)),
            tenant=self.deployment.tenant_index.get(tenant, -1),
            received_at=self.now(),
            time_left_s=line.seconds("remaining_ms"),
        )

    def _ended(self, cmd: RequestState, line: Line) -> None:
        send_no, over = line.whole("seq_no"), line.whole("complete", 0) == 1
        load = report(line, self.deployment)
        if line.text("disposition") == "delivered":
            cmd.on_answer(send_no, need(line), load)
        else:
            cmd.on_attempt_end(send_no, line.choice("disposition", ENDINGS), over, load)

    def _note(self, cmd: RequestState, line: Line) -> None:
        send_no, kind, amount = line.whole("seq_no"), line.whole("kind"), line.number("amount")
        if kind in (1, 2, 3):  # share done, spilling, standing still
            cmd.on_progress(send_no, amount if kind == 1 else None, is_stalled=kind == 3)
        else:
            raise WireError(f"interim: kind={kind} is not known")

    def _listed(self, line: Line, rosters: dict[int, list[Line]]) -> None:
        how = line.text("how")
        if how not in ("diff", "snapshot", "disk", "error"):
            raise WireError(f"peers_known: how={how[:40]!r} is not known")
        if how == "error":
            return
        number = line.whole("roster_id")
        if number not in rosters:
            raise WireError(f"peers_known: roster_id={number} was never given")
        entries = [entry(item, self.deployment, self.engine(item)) for item in rosters[number]]
        self.gateway.update_engines(entries, complete=how != "diff")


class Simulation:
    """All routers of one process; nothing passes between them but the batch's clock."""

    def __init__(self) -> None:
        self.now = 0.0
        self.routers: dict[int, Router] = {}
        self.rosters: dict[int, list[Line]] = {}

    def answer(self, now: float, frame: str, events: list[Line]) -> list[str]:
        self.now = now
        reply: list[str] = []
        number: int | None = None
        opened = items = 0
        try:
            for line in events:
                if items and line.name != "item":
                    raise WireError(f"snapshot_rows: {items} of its items are missing")
                if line.name == "context":
                    number = line.whole("router")
                elif line.name == "snapshot_rows":
                    opened, items = line.whole("roster_id"), line.whole("members")
                    self.rosters[opened] = []
                elif line.name == "item":
                    if not items:
                        raise WireError("item: no list is open")
                    self.rosters[opened].append(line)
                    items -= 1
                elif number is None:
                    raise WireError(f"{line.name[:40]}: no context says whose it is")
                elif line.name == "provision":
                    self.routers[number] = Router(line, lambda: self.now)
                elif line.name == "destroy":
                    self.routers.pop(number, None)
                else:
                    self._hear(number, line, reply)
            if items:
                raise WireError(f"snapshot_rows: {items} of its items are missing")
        except WireError as err:
            raise WireError(f"batch {frame}: {err}") from None
        return [*reply, action("ack", frame=frame)]

    def _hear(self, number: int, line: Line, reply: list[str]) -> None:
        router = self.routers.get(number)
        if router is None:
            raise WireError(f"{line.name[:40]}: router {number} was not provisioned")
        try:
            router.hear(line, self.rosters)
        except WireError:
            raise
        except Exception as err:  # the bench must hear of it: a router that goes on would hide it
            router.out.append(action("fatal", msg=f"{type(err).__name__}: {err}".replace("\n", " ")))
        if router.out:
            reply.append(action("at", router=number))
            reply.extend(router.out)
            router.out.clear()


def run(source: Iterable[str], sink: TextIO) -> None:
    drill = Simulation()
    for now, frame, events in batches(source):
        sink.write("\n".join(drill.answer(now, frame, events)) + "\n")
        sink.flush()


def main(argv: list[str]) -> int:
    if argv:
        print(
            f"usage: python -m marbleworks.simulation  (reads batches, takes no argument {argv[0]!r})",
            file=sys.stderr,
        )
        return 2
    try:
        run(sys.stdin, sys.stdout)
    except WireError as err:
        print(f"marbleworks.simulation: {err}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
