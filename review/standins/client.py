"""A client of a router: MessagePack-RPC over one TCP connection."""

from __future__ import annotations

import asyncio
import secrets
from contextlib import suppress
from dataclasses import dataclass
from enum import Enum
from typing import Any

import msgpack

from standins.record import Record

LATE_ANSWER_ALLOWANCE_S = 0.5  # a final answer that is later than this after the client's time is lost
REQUEST, NOTIFICATION = 0, 2  # types of messages


class AnswerKind(Enum):
    """How a request ended for its client."""

    SERVED = "served"
    REJECTED = "rejected"
    FAILED = "failed"
    NO_ANSWER = "no-answer"
    UNREACHABLE = "unreachable"


@dataclass(frozen=True)
class Answer:
    """The end of a request.

    Attributes:
        body: The result; empty if there is none.
        fields: Fields of the result or of the error.
    """

    kind: AnswerKind
    body: bytes = b""
    fields: dict[str, str] | None = None


class Client:
    """One connection to a router.

    Attributes:
        surplus_answers: Answers to calls that were not open, such as a second answer.
    """

    def __init__(self, name: str, record: Record) -> None:
        self.name = name
        self.record = record
        self.open_calls: dict[int, asyncio.Future[list[Any]]] = {}
        self.surplus_answers = 0
        self.last_number = 0
        self.reader_task: asyncio.Task[None] | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def connect(self, address: tuple[str, int]) -> None:
        """Connects to a router.

        Raises:
            OSError: The router does not accept the connection.
        """
        reader, self.writer = await asyncio.open_connection(*address)
        self.reader_task = asyncio.get_running_loop().create_task(self._read(reader))

    async def _read(self, reader: asyncio.StreamReader) -> None:
        unpacker = msgpack.Unpacker()
        with suppress(ConnectionError):
            while data := await reader.read(1 << 16):
                unpacker.feed(data)
                for message in unpacker:
                    call = self.open_calls.pop(message[1], None)
                    if call is None:
                        self.surplus_answers += 1
                        self.record.add(self.name, "surplus-answer", "", str(message[1]))
                    elif not call.done():
                        call.set_result(message)
        for call in self.open_calls.values():
            if not call.done():
                call.set_exception(ConnectionResetError("the router closed the connection"))

    def encode(self, method: str, params: list[Any]) -> tuple[int, bytes]:
        """Returns the number and the bytes of a new call, which is open from now on."""
        self.last_number += 1
        self.open_calls[self.last_number] = asyncio.get_running_loop().create_future()
        return self.last_number, msgpack.packb([REQUEST, self.last_number, method, params])

    def send(self, method: str, params: list[Any]) -> int:
        """Sends a call and returns its number."""
        number, data = self.encode(method, params)
        self.write(data)
        return number

    def write(self, data: bytes) -> None:
        """Writes bytes to the connection."""
        assert self.writer is not None
        self.writer.write(data)

    async def call(self, method: str, params: list[Any], timeout_s: float) -> list[Any]:
        """Sends a call and returns the message that answers it.

        Raises:
            TimeoutError: No answer came in time.
            ConnectionError: The router closed the connection.
        """
        if self.reader_task is None or self.reader_task.done():
            raise ConnectionResetError("the connection has ended")
        number = self.send(method, params)
        try:
            return await asyncio.wait_for(self.open_calls[number], timeout_s)
        finally:
            self.open_calls.pop(number, None)

    async def is_healthy(self) -> bool:
        """Whether the router answers `health` with true."""
        try:
            message = await self.call("health", [{}], 1.0)
        except (TimeoutError, ConnectionError):
            return False
        return bool(message[2] is None and message[3][0] is True)

    async def query(
        self, class_name: str, statement: str, wait_s: float, cost_ms: float, **fields: str
    ) -> tuple[str, Answer]:
        """Sends a request and returns its id and how it ended."""
        request_id, params = query_params(statement, wait_s, cost_ms, **fields)
        self.record.add(self.name, "sent", request_id, f"{class_name} wait {wait_s:g} s: {statement}")
        try:
            message = await self.call(class_name, params, wait_s + LATE_ANSWER_ALLOWANCE_S)
            answer = _decode_answer(message)
        except TimeoutError:
            answer = Answer(AnswerKind.NO_ANSWER)
        except ConnectionError:
            answer = Answer(AnswerKind.UNREACHABLE)
        detail = answer.body.decode("utf-8", "replace").replace("\n", "|").replace("\t", ",")
        self.record.add(self.name, answer.kind.value, request_id, detail or str(answer.fields or ""))
        return request_id, answer

    def cancel(self, number: int) -> None:
        """Takes a call back."""
        assert self.writer is not None
        self.open_calls.pop(number, None)
        self.writer.write(msgpack.packb([NOTIFICATION, "cancel", [number]]))

    def close(self) -> None:
        """Closes the connection."""
        if self.writer is not None:
            self.writer.close()
        if self.reader_task is not None:
            self.reader_task.cancel()


def query_params(
    statement: str, wait_s: float, cost_ms: float, **fields: str
) -> tuple[str, list[dict[str, str] | bytes]]:
    """Returns a new request id and the parameters of a call with it."""
    request_id = secrets.token_hex(8)
    header = {"id": request_id, "wait": str(round(wait_s * 1000)), "tenant": "acme"}
    header |= {"cost": f"{cost_ms:.1f}", "need_mb": "10"} | fields
    return request_id, [header, statement.encode()]


def _decode_answer(message: list[Any]) -> Answer:
    _, _, error, result = message
    if error is None:
        return Answer(AnswerKind.SERVED, result[0], result[1])
    kind = AnswerKind.REJECTED if error[0] == "Rejected" else AnswerKind.FAILED
    return Answer(kind, b"", error[1])
