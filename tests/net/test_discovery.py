"""Tests of engine discovery with valid and invalid forms of the engine list and of DNS responses."""

from __future__ import annotations

import io
import struct
from collections.abc import Callable
from typing import Any

import dns.edns
import dns.flags
import dns.message
import dns.rrset
import pytest

from marbleworks.lab.standins import HOST
from marbleworks.model import EngineStatus
from marbleworks.net.discovery import EngineDiscovery
from marbleworks.net.engine_protocol import DNS_SERVICE_NAME, MAX_DNS_RESPONSE_BYTES
from tests.net.test_event_orders import name_server
from tests.net.test_router import time_limit, until
from tests.support.stand_ins import DEPLOYMENT, EngineListRecorder

__all__ = ["time_limit"]

UP, DRAINING, REMOVED = EngineStatus.UP, EngineStatus.DRAINING, EngineStatus.REMOVED
# An engine as published: id, name, zone, machine kind, cell, status, start time and address.
Row = tuple[int, str, int, int, int, EngineStatus, float, tuple[str, int]]


def row(engine_id: int, name: str, port: int, status: EngineStatus = UP, started_at: float = 0.0) -> Row:
    return engine_id, name, 0, 0, 2, status, started_at, (HOST, port)


def member(name: str, port: int, phase: str = "Ready", up_since_ms: int = 0) -> dict[str, Any]:
    return {
        "id": name,
        "host_port": f"{HOST}:{port}",
        "locality": "hall-a",
        "flavor": "std",
        "cell": 2,
        "phase": phase,
        "size": 4,
        "up_since_ms": up_since_ms,
    }


def known(*events: list[dict[str, Any]]) -> dict[str, Any]:
    """Returns an initial engine list, whose first event is complete."""
    pools = [{"revision": n, "complete": n == 1, "members": c} for n, c in enumerate(events, 1)]
    return {"rev": len(pools), "notices": [{"rev": pool["revision"], "pool": pool} for pool in pools]}


class Listing:
    """An engine discovery, the lists that it published, and the name server that it queries.

    Attributes:
        server: Socket of the name server.
        dispatcher: Recorder of the published lists.
        discovery: The engine discovery.
        question: Last query that the name server received.
        sender: Address that the query came from.
    """

    def __init__(self, initial_engines: dict[str, Any]) -> None:
        self.server, self.dispatcher = name_server(), EngineListRecorder()
        self.discovery = EngineDiscovery(
            self.dispatcher,  # type: ignore[arg-type]
            DEPLOYMENT,
            initial_engines,
            self.server.getsockname(),
        )
        self.question, self.sender = self.server.recvfrom(4096)

    def ask(self) -> None:
        """Makes the engine discovery send a query at once, and receives it."""
        self.discovery.post(self.discovery.on_timer)
        self.question, self.sender = self.server.recvfrom(4096)

    def wait_until_answered(self) -> None:
        """Waits until the last query has been answered."""
        until(lambda: dns.message.from_wire(self.question).id not in self.discovery.open_queries)

    def send(self, data: bytes) -> None:
        """Sends a response to the last query."""
        self.server.sendto(data, self.sender)

    def last_list(self, list_count: int) -> list[Row]:
        """Waits for that many published lists and returns the last one, sorted by engine id."""
        until(lambda: len(self.dispatcher.published_lists) >= list_count)
        assert len(self.dispatcher.published_lists) == list_count
        listing, _ = self.dispatcher.published_lists[-1]
        return sorted(
            (e.engine_id, e.name, e.zone, e.machine_kind, e.cell, e.status, e.started_at, a)
            for e, a in listing
        )


def record(owner: str, kind: str, text: str) -> dns.rrset.RRset:
    """Returns a resource record."""
    return dns.rrset.from_text(owner, 5, "IN", kind, text)


def records(name: str, port: int, text: str, priority: int = 0) -> list[dns.rrset.RRset]:
    """Returns the SRV, A and TXT records of an engine."""
    target = f"{name}.hall-a.hosts."
    srv = record(DNS_SERVICE_NAME, "SRV", f"{priority} 40 {port} {target}")
    return [srv, record(target, "A", HOST), record(target, "TXT", text)]


def reply(question: bytes, serial: int, *engines: list[dns.rrset.RRset]) -> dns.message.Message:
    """Returns a response that lists the engines under this revision."""
    response = dns.message.make_response(dns.message.from_wire(question))
    response.answer += [engine[0] for engine in engines]
    response.additional += [rrset for engine in engines for rrset in engine[1:]]
    response.authority.append(record(DNS_SERVICE_NAME, "SOA", f"a. b. {serial} 1 1 1 1"))
    return response


def uncompressed(response: dns.message.Message) -> bytes:
    """Encodes a response without name compression."""
    out, sections = io.BytesIO(), (response.answer, response.authority, response.additional)
    out.write(struct.pack("!6H", response.id, response.flags, 1, *(len(section) for section in sections)))
    out.write(response.question[0].name.to_wire() + struct.pack("!2H", 33, 1))
    for record_set in (rrset for section in sections for rrset in section):
        record_set.to_wire(out)
    return out.getvalue()


A = records("s-a", 1000, '"kind=std" "cell=2" "started=0"')
B = records("s-b", 2000, '"kind=std" "cell=2" "started=5000"', priority=1)
SAME = [row(0, "s-a", 1000), row(1, "s-b", 2000, DRAINING, 5.0)]


def moved(response: dns.message.Message, kinds: str) -> bytes:
    """Encodes a response with the records of these kinds at the start of the answer section."""
    moved_rrsets = [rrset for rrset in response.additional if rrset.rdtype.name in kinds]
    response.answer[:0], response.additional = (
        moved_rrsets,
        [rrset for rrset in response.additional if rrset not in moved_rrsets],
    )
    return response.to_wire()


def backwards(response: dns.message.Message) -> bytes:
    """Encodes a response with the records of each section in reverse order."""
    for section in (response.answer, response.additional, response.authority):
        section.reverse()
    return response.to_wire()


def texts(response: dns.message.Message, change: Callable[[str], str]) -> bytes:
    """Encodes a response with changed TXT records."""
    response.additional = [
        record(str(rrset.name), "TXT", change(rrset[0].to_text())) if rrset.rdtype.name == "TXT" else rrset
        for rrset in response.additional
    ]
    return response.to_wire()


def renamed(response: dns.message.Message, old: bytes, new: bytes) -> bytes:
    """Encodes a response with some bytes replaced, without name compression."""
    data = uncompressed(response)
    assert old in data
    return data.replace(old, new)


def among_others(response: dns.message.Message) -> bytes:
    """Encodes a response with further records in each section."""
    response.answer.append(record(DNS_SERVICE_NAME, "TXT", '"hosts=2"'))
    response.authority.insert(0, record(DNS_SERVICE_NAME, "NS", "ns.mesh.local."))
    response.additional.insert(0, record("ns.mesh.local.", "A", "127.0.0.9"))
    response.additional.insert(1, record("s-a.hall-a.hosts.", "AAAA", "::1"))
    response.use_edns(0, 0, 8000, options=[dns.edns.GenericOption(10, b"12345678")])
    return response.to_wire()


HOST_A = b"\3s-a\6hall-a\5hosts"
FORMS: dict[str, Callable[[dns.message.Message], bytes]] = {
    "as in the specification": lambda response: response.to_wire(),
    "names in full": uncompressed,
    "addresses in the answer": lambda response: moved(response, "A"),
    "texts in the answer": lambda response: moved(response, "TXT"),
    "all in the answer": lambda response: moved(response, "A TXT"),
    "in the other order": backwards,
    "keys in the other order": lambda response: texts(response, lambda text: " ".join(text.split()[::-1])),
    "unknown keys": lambda response: texts(response, lambda text: f'"rack" "a=b" "" {text} "={"x" * 250}"'),
    "among other records": among_others,
    "another weight": lambda response: renamed(response, b"\0\x28\x03\xe8", b"\0\0\x03\xe8"),
    "owners in capitals": lambda response: renamed(response, HOST_A + b"\0\0\1", HOST_A.upper() + b"\0\0\1"),
    "targets in capitals": lambda response: renamed(response, b"\x03\xe8\3s-a\6hall", b"\x03\xe8\3S-A\6Hall"),
    "all in capitals": lambda response: renamed(response, HOST_A, HOST_A.upper()),
    "the service in capitals": lambda response: renamed(response, b"\4_rpc\4_tcp", b"\4_RPC\4_TCP"),
}


@pytest.mark.parametrize("form", FORMS.values(), ids=FORMS)
def test_a_list_is_decoded_the_same_in_every_form(form: Callable[[dns.message.Message], bytes]) -> None:
    listing = Listing(known([member("s-a", 1000)]))
    listing.send(form(reply(listing.question, 2, A, B)))
    assert listing.last_list(2) == SAME and listing.dispatcher.published_lists[-1][1]


def test_a_response_of_the_maximum_size_is_read_completely() -> None:
    listing, txt_strings = Listing(known([])), '"kind=std" "cell=2" "started=0"'
    engines = [records(f"s-{n:03}", 1000 + n, txt_strings) for n in range(70)]
    while (
        remaining_bytes := MAX_DNS_RESPONSE_BYTES - len(reply(listing.question, 2, *engines).to_wire(65535))
    ) > 600:
        engines.append(records(f"s-{len(engines):03}", 1000 + len(engines), txt_strings))
    assert remaining_bytes > 0
    # Sizes of padding strings, each of which is preceded by a length byte.
    sizes = [200] * (remaining_bytes // 200) + [remaining_bytes % 200]
    padded_strings = " ".join([txt_strings, *(f'"{"x" * (size - 1)}"' for size in sizes if size)])
    engines[-1] = records(f"s-{len(engines) - 1:03}", 999 + len(engines), padded_strings)
    data = reply(listing.question, 2, *engines).to_wire(65535)
    assert len(data) == MAX_DNS_RESPONSE_BYTES == 8000
    listing.send(data)
    assert listing.last_list(2) == [row(n, f"s-{n:03}", 1000 + n) for n in range(len(engines))]


def with_flag_flipped(response: dns.message.Message, flag: int) -> bytes:
    """Encodes a response with one of its header flags inverted."""
    response.flags ^= flag
    return response.to_wire()


def for_question(response: dns.message.Message, name: str, kind: str) -> bytes:
    """Encodes a response as one to a query for another name or type."""
    question = dns.message.make_query(name, kind, id=response.id)
    other = reply(question.to_wire(), 9)
    other.answer, other.additional = response.answer, response.additional
    return other.to_wire()


def without(response: dns.message.Message, kind: str) -> bytes:
    """Encodes a response without the records of one type."""
    for section in (response.answer, response.authority, response.additional):
        section[:] = [rrset for rrset in section if rrset.rdtype.name != kind]
    return response.to_wire()


INVALID_FORMS: dict[str, Callable[[dns.message.Message], bytes]] = {
    "nothing": lambda response: b"",
    "noise": lambda response: b"\xc0\x0c" * 40,
    "noise after the header": lambda response: response.to_wire()[:12] + b"\xff" * 200,
    "the first half": lambda response: response.to_wire()[: len(response.to_wire()) // 2],
    "all but a byte": lambda response: response.to_wire()[:-1],
    "a byte too many": lambda response: response.to_wire() + b"\0",
    "truncated": lambda response: with_flag_flipped(response, dns.flags.TC),
    "a question": lambda response: with_flag_flipped(response, dns.flags.QR),
    "failed": lambda response: with_flag_flipped(response, 2),
    "to another name": lambda response: for_question(response, "_rpc._tcp.other.local", "SRV"),
    "to another type": lambda response: for_question(response, DNS_SERVICE_NAME, "TXT"),
    "with another id": lambda response: struct.pack("!H", response.id ^ 1) + response.to_wire()[2:],
    "no revision": lambda response: without(response, "SOA"),
    "no addresses": lambda response: without(response, "A"),
    "no texts": lambda response: without(response, "TXT"),
    "start time that is not a number": lambda response: texts(
        response, lambda text: text.replace("started=", "started=x")
    ),
}


@pytest.mark.parametrize("form", INVALID_FORMS.values(), ids=INVALID_FORMS)
def test_an_invalid_response_is_ignored(form: Callable[[dns.message.Message], bytes]) -> None:
    listing = Listing(known([member("s-a", 1000)]))
    listing.send(form(reply(listing.question, 9, B)))
    listing.send(reply(listing.question, 2, A, B).to_wire())  # the query is still open
    assert listing.last_list(2) == SAME


def test_outdated_and_foreign_responses_are_ignored_and_an_equal_revision_only_closes_the_query() -> None:
    listing, other_server = Listing(known([member("s-a", 1000)], [member("s-b", 2000)])), name_server()
    listing.send(reply(listing.question, 1, A).to_wire())
    other_server.sendto(reply(listing.question, 9, A).to_wire(), listing.sender)
    listing.send(reply(listing.question, 3, A, B).to_wire())  # the query is still open
    assert listing.last_list(3) == SAME
    listing.ask()
    listing.send(reply(listing.question, 3, A).to_wire())
    listing.wait_until_answered()
    listing.send(reply(listing.question, 8, A).to_wire())  # a second response to the same query
    listing.ask()
    listing.send(reply(listing.question, 4, B).to_wire())
    assert listing.last_list(4) == SAME[1:]
    other_server.close()


def test_each_response_is_complete_and_an_engine_keeps_its_id_until_it_has_gone() -> None:
    listing = Listing(known([member("s-a", 1000), member("s-b", 2000)]))
    restarted_txt, standard_txt = '"kind=std" "cell=2" "started=7000"', '"kind=std" "cell=2" "started=0"'
    lists: list[tuple[list[Any], list[Row]]] = [
        ([records("s-a", 1000, standard_txt, 1), B], [row(0, "s-a", 1000, DRAINING), SAME[1]]),
        ([B, A], SAME),
        # An engine has gone, and a new one has its address.
        ([records("s-c", 1000, restarted_txt), B], [SAME[1], row(2, "s-c", 1000, UP, 7.0)]),
        # A new process has the same name.
        ([records("s-b", 2000, restarted_txt)], [row(1, "s-b", 2000, UP, 7.0)]),
        ([], []),
        ([records("s-b", 2500, standard_txt)], [row(3, "s-b", 2500)]),
    ]
    for serial, (engines, rows) in enumerate(lists, 2):
        if serial > 2:
            listing.ask()
        listing.send(reply(listing.question, 2 * serial, *engines).to_wire())
        assert listing.last_list(serial) == rows and listing.dispatcher.published_lists[-1][1]


def test_the_events_of_the_initial_list_are_published_one_by_one() -> None:
    a, b = member("s-a", 1000), member("s-b", 2000, "Terminating")
    listing = Listing(
        known(
            [a, b],
            [member("s-a", 1000, up_since_ms=5000)],  # restarted under the same name
            [member("s-b", 2000, "Gone")],
            [member("s-c", 2000)],  # at the address of an engine that has gone
            [member("s-a", 1000, "Terminating", 5000), member("s-b", 3000)],
            [],
        )
    )
    expected_rows = [
        [row(0, "s-a", 1000), row(1, "s-b", 2000, DRAINING)],
        [row(0, "s-a", 1000, UP, 5.0)],
        [row(1, "s-b", 2000, REMOVED)],
        [row(2, "s-c", 2000)],
        [row(0, "s-a", 1000, DRAINING, 5.0), row(3, "s-b", 3000)],
        [],
    ]
    published = [
        [
            (e.engine_id, e.name, e.zone, e.machine_kind, e.cell, e.status, e.started_at, address)
            for e, address in engines
        ]
        for engines, _ in listing.dispatcher.published_lists
    ]
    assert (
        published == expected_rows
        and [is_complete for _, is_complete in listing.dispatcher.published_lists] == [True] + [False] * 5
    )
    listing.send(reply(listing.question, 6, B).to_wire())  # the last of these events
    listing.wait_until_answered()
    listing.ask()
    listing.send(reply(listing.question, 7, records("s-c", 2000, '"started=0"')).to_wire())
    [(engine_id, name, *_)] = listing.last_list(7)
    assert (engine_id, name) == (2, "s-c")


def test_an_unchanged_response_is_not_decoded_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """Such a response closes its query.

    A response that differs in one byte is decoded, even if it equals one before the last.
    """
    decoded_sizes: list[int] = []
    real_from_wire = dns.message.from_wire

    def from_wire(data: bytes) -> dns.message.Message:
        decoded_sizes.append(len(data))
        return real_from_wire(data)

    listing = Listing(known([member("s-a", 1000)]))

    def send_list(serial: int, *engines: list[dns.rrset.RRset]) -> None:
        listing.ask()
        response = reply(listing.question, serial, *engines).to_wire()
        with monkeypatch.context() as patch:
            patch.setattr(dns.message, "from_wire", from_wire)
            listing.send(response)
            until(lambda: int.from_bytes(response[:2]) not in listing.discovery.open_queries)

    send_list(2, A, B)
    send_list(2, A, B)
    assert len(decoded_sizes) == 1 and listing.last_list(2) == SAME
    send_list(3, A)
    assert len(decoded_sizes) == 2 and listing.last_list(3) == SAME[:1]
    send_list(4, A, B)
    assert len(decoded_sizes) == 3 and [name for _, name, *_ in listing.last_list(4)] == ["s-a", "s-b"]
    unsolicited = reply(listing.question, 4, A, B).to_wire()  # to a query that is already closed
    listing.send(unsolicited)
    send_list(5, A)
    assert len(decoded_sizes) == 5 and [name for _, name, *_ in listing.last_list(5)] == ["s-a"]
