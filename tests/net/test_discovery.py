"""The list of engines up to the desk, in each form that the protocol allows and in those that it does not."""

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
from tests.net.test_router import bounded, until
from tests.support.stand_ins import DEPLOYMENT, Listener

__all__ = ["bounded"]

UP, DRAINING, GONE = EngineStatus.UP, EngineStatus.DRAINING, EngineStatus.GONE
Row = tuple[int, str, int, int, int, EngineStatus, float, tuple[str, int]]  # of a list, as the desk gets it


def row(be: int, name: str, port: int, listed: EngineStatus = UP, started: float = 0.0) -> Row:
    return be, name, 0, 0, 2, listed, started, (HOST, port)


def member(name: str, port: int, phase: str = "Ready", start: int = 0) -> dict[str, Any]:
    return {
        "id": name,
        "host_port": f"{HOST}:{port}",
        "locality": "hall-a",
        "flavor": "std",
        "cell": 2,
        "phase": phase,
        "size": 4,
        "up_since_ms": start,
    }


def known(*changes: list[dict[str, Any]]) -> dict[str, Any]:
    """The list of the start: the first event has it whole."""
    pools = [{"revision": n, "complete": n == 1, "members": c} for n, c in enumerate(changes, 1)]
    return {"rev": len(pools), "notices": [{"rev": pool["revision"], "pool": pool} for pool in pools]}


class Listing:
    """A directory, what it told the desk, and the name server that it asks."""

    def __init__(self, start: dict[str, Any]) -> None:
        self.server, self.desk = name_server(), Listener()
        self.directory = EngineDiscovery(self.desk, DEPLOYMENT, start, self.server.getsockname())  # type: ignore[arg-type]
        self.question, self.sender = self.server.recvfrom(4096)

    def ask(self) -> None:
        """Has it ask at once."""
        self.directory.post(self.directory.on_timer)
        self.question, self.sender = self.server.recvfrom(4096)

    def answered(self) -> None:
        """Waits until the question has been answered."""
        until(lambda: dns.message.from_wire(self.question).id not in self.directory.open_queries)

    def send(self, data: bytes) -> None:
        self.server.sendto(data, self.sender)

    def told(self, lists: int) -> list[Row]:
        """The last of so many lists."""
        until(lambda: len(self.desk.lists) >= lists)
        assert len(self.desk.lists) == lists
        listing, _ = self.desk.lists[-1]
        return sorted(
            (e.engine_id, e.name, e.zone, e.machine_kind, e.cell, e.status, e.started_at, a)
            for e, a in listing
        )


def record(owner: str, kind: str, text: str) -> dns.rrset.RRset:
    return dns.rrset.from_text(owner, 5, "IN", kind, text)


def records(name: str, port: int, text: str, priority: int = 0) -> list[dns.rrset.RRset]:
    target = f"{name}.hall-a.hosts."
    srv = record(DNS_SERVICE_NAME, "SRV", f"{priority} 40 {port} {target}")
    return [srv, record(target, "A", HOST), record(target, "TXT", text)]


def reply(question: bytes, serial: int, *engines: list[dns.rrset.RRset]) -> dns.message.Message:
    said = dns.message.make_response(dns.message.from_wire(question))
    said.answer += [engine[0] for engine in engines]
    said.additional += [one for engine in engines for one in engine[1:]]
    said.authority.append(record(DNS_SERVICE_NAME, "SOA", f"a. b. {serial} 1 1 1 1"))
    return said


def uncompressed(said: dns.message.Message) -> bytes:
    out, sections = io.BytesIO(), (said.answer, said.authority, said.additional)
    out.write(struct.pack("!6H", said.id, said.flags, 1, *(len(section) for section in sections)))
    out.write(said.question[0].name.to_wire() + struct.pack("!2H", 33, 1))
    for rrset in (one for section in sections for one in section):
        rrset.to_wire(out)
    return out.getvalue()


A = records("s-a", 1000, '"kind=std" "cell=2" "started=0"')
B = records("s-b", 2000, '"kind=std" "cell=2" "started=5000"', priority=1)
SAME = [row(0, "s-a", 1000), row(1, "s-b", 2000, DRAINING, 5.0)]


def moved(said: dns.message.Message, kinds: str) -> bytes:
    """With the records of these kinds in the answer section, and before the targets."""
    first = [one for one in said.additional if one.rdtype.name in kinds]
    said.answer[:0], said.additional = first, [one for one in said.additional if one not in first]
    return said.to_wire()


def backwards(said: dns.message.Message) -> bytes:
    for section in (said.answer, said.additional, said.authority):
        section.reverse()
    return said.to_wire()


def texts(said: dns.message.Message, change: Callable[[str], str]) -> bytes:
    said.additional = [
        record(str(one.name), "TXT", change(one[0].to_text())) if one.rdtype.name == "TXT" else one
        for one in said.additional
    ]
    return said.to_wire()


def renamed(said: dns.message.Message, old: bytes, new: bytes) -> bytes:
    data = uncompressed(said)
    assert old in data
    return data.replace(old, new)


def among_others(said: dns.message.Message) -> bytes:
    said.answer.append(record(DNS_SERVICE_NAME, "TXT", '"hosts=2"'))
    said.authority.insert(0, record(DNS_SERVICE_NAME, "NS", "ns.mesh.local."))
    said.additional.insert(0, record("ns.mesh.local.", "A", "127.0.0.9"))
    said.additional.insert(1, record("s-a.hall-a.hosts.", "AAAA", "::1"))
    said.use_edns(0, 0, 8000, options=[dns.edns.GenericOption(10, b"12345678")])
    return said.to_wire()


HOST_A = b"\3s-a\6hall-a\5hosts"
FORMS: dict[str, Callable[[dns.message.Message], bytes]] = {
    "as on the page": lambda said: said.to_wire(),
    "names in full": uncompressed,
    "addresses in the answer": lambda said: moved(said, "A"),
    "texts in the answer": lambda said: moved(said, "TXT"),
    "all in the answer": lambda said: moved(said, "A TXT"),
    "in the other order": backwards,
    "keys in the other order": lambda said: texts(said, lambda text: " ".join(text.split()[::-1])),
    "keys that nobody knows": lambda said: texts(said, lambda text: f'"rack" "a=b" "" {text} "={"x" * 250}"'),
    "among other records": among_others,
    "another weight": lambda said: renamed(said, b"\0\x28\x03\xe8", b"\0\0\x03\xe8"),
    "owners in capitals": lambda said: renamed(said, HOST_A + b"\0\0\1", HOST_A.upper() + b"\0\0\1"),
    "targets in capitals": lambda said: renamed(said, b"\x03\xe8\3s-a\6hall", b"\x03\xe8\3S-A\6Hall"),
    "all in capitals": lambda said: renamed(said, HOST_A, HOST_A.upper()),
    "the service in capitals": lambda said: renamed(said, b"\4_rpc\4_tcp", b"\4_RPC\4_TCP"),
}


@pytest.mark.parametrize("form", FORMS.values(), ids=FORMS)
def test_a_list_reaches_the_desk_the_same_in_every_form(form: Callable[[dns.message.Message], bytes]) -> None:
    listing = Listing(known([member("s-a", 1000)]))
    listing.send(form(reply(listing.question, 2, A, B)))
    assert listing.told(2) == SAME and listing.desk.lists[-1][1]


def test_a_list_of_as_many_bytes_as_an_answer_holds_is_read_to_its_last() -> None:
    listing, fact = Listing(known([])), '"kind=std" "cell=2" "started=0"'
    engines = [records(f"s-{n:03}", 1000 + n, fact) for n in range(70)]
    while (left := MAX_DNS_RESPONSE_BYTES - len(reply(listing.question, 2, *engines).to_wire(65535))) > 600:
        engines.append(records(f"s-{len(engines):03}", 1000 + len(engines), fact))
    assert left > 0
    sizes = [200] * (left // 200) + [left % 200]  # of strings of no meaning, each with its length before it
    filled = " ".join([fact, *(f'"{"x" * (size - 1)}"' for size in sizes if size)])
    engines[-1] = records(f"s-{len(engines) - 1:03}", 999 + len(engines), filled)
    data = reply(listing.question, 2, *engines).to_wire(65535)
    assert len(data) == MAX_DNS_RESPONSE_BYTES == 8000
    listing.send(data)
    assert listing.told(2) == [row(n, f"s-{n:03}", 1000 + n) for n in range(len(engines))]


def signed(said: dns.message.Message, flag: int) -> bytes:
    said.flags ^= flag
    return said.to_wire()


def to_another(said: dns.message.Message, name: str, kind: str) -> bytes:
    question = dns.message.make_query(name, kind, id=said.id)
    other = reply(question.to_wire(), 9)
    other.answer, other.additional = said.answer, said.additional
    return other.to_wire()


def without(said: dns.message.Message, kind: str) -> bytes:
    for section in (said.answer, said.authority, said.additional):
        section[:] = [one for one in section if one.rdtype.name != kind]
    return said.to_wire()


WRONG: dict[str, Callable[[dns.message.Message], bytes]] = {
    "nothing": lambda said: b"",
    "noise": lambda said: b"\xc0\x0c" * 40,
    "noise behind its number": lambda said: said.to_wire()[:12] + b"\xff" * 200,
    "the first half": lambda said: said.to_wire()[: len(said.to_wire()) // 2],
    "all but a byte": lambda said: said.to_wire()[:-1],
    "a byte too many": lambda said: said.to_wire() + b"\0",
    "cut": lambda said: signed(said, dns.flags.TC),
    "a question": lambda said: signed(said, dns.flags.QR),
    "failed": lambda said: signed(said, 2),
    "to another name": lambda said: to_another(said, "_rpc._tcp.other.local", "SRV"),
    "to another type": lambda said: to_another(said, DNS_SERVICE_NAME, "TXT"),
    "under another number": lambda said: struct.pack("!H", said.id ^ 1) + said.to_wire()[2:],
    "no serial": lambda said: without(said, "SOA"),
    "no addresses": lambda said: without(said, "A"),
    "no texts": lambda said: without(said, "TXT"),
    "start that is no figure": lambda said: texts(said, lambda text: text.replace("started=", "started=x")),
}


@pytest.mark.parametrize("form", WRONG.values(), ids=WRONG)
def test_what_is_no_whole_answer_changes_nothing(form: Callable[[dns.message.Message], bytes]) -> None:
    listing = Listing(known([member("s-a", 1000)]))
    listing.send(form(reply(listing.question, 9, B)))
    listing.send(reply(listing.question, 2, A, B).to_wire())  # the question is still open
    assert listing.told(2) == SAME


def test_an_older_list_and_one_from_elsewhere_change_nothing_and_an_equal_one_is_only_heard() -> None:
    listing, stranger = Listing(known([member("s-a", 1000)], [member("s-b", 2000)])), name_server()
    listing.send(reply(listing.question, 1, A).to_wire())
    stranger.sendto(reply(listing.question, 9, A).to_wire(), listing.sender)
    listing.send(reply(listing.question, 3, A, B).to_wire())  # the question was still open
    assert listing.told(3) == SAME
    listing.ask()
    listing.send(reply(listing.question, 3, A).to_wire())
    listing.answered()
    listing.send(reply(listing.question, 8, A).to_wire())  # a second answer to the same question
    listing.ask()
    listing.send(reply(listing.question, 4, B).to_wire())
    assert listing.told(4) == SAME[1:]
    stranger.close()


def test_each_list_is_whole_and_an_engine_keeps_its_index_until_it_has_gone() -> None:
    listing = Listing(known([member("s-a", 1000), member("s-b", 2000)]))
    late, std = '"kind=std" "cell=2" "started=7000"', '"kind=std" "cell=2" "started=0"'
    lists: list[tuple[list[Any], list[Row]]] = [
        ([records("s-a", 1000, std, 1), B], [row(0, "s-a", 1000, DRAINING), SAME[1]]),
        ([B, A], SAME),
        # It has gone, and a new one has its address.
        ([records("s-c", 1000, late), B], [SAME[1], row(2, "s-c", 1000, UP, 7.0)]),
        # Another process under the same id, later.
        ([records("s-b", 2000, late)], [row(1, "s-b", 2000, UP, 7.0)]),
        ([], []),
        ([records("s-b", 2500, std)], [row(3, "s-b", 2500)]),
    ]
    for serial, (engines, rows) in enumerate(lists, 2):
        if serial > 2:
            listing.ask()
        listing.send(reply(listing.question, 2 * serial, *engines).to_wire())
        assert listing.told(serial) == rows and listing.desk.lists[-1][1]


def test_the_list_of_the_start_and_its_later_events_reach_the_desk_one_by_one() -> None:
    a, b = member("s-a", 1000), member("s-b", 2000, "Terminating")
    listing = Listing(
        known(
            [a, b],
            [member("s-a", 1000, start=5000)],  # anew under the same id
            [member("s-b", 2000, "Gone")],
            [member("s-c", 2000)],  # at the address of one that has gone
            [member("s-a", 1000, "Terminating", 5000), member("s-b", 3000)],
            [],
        )
    )
    rows = [
        [row(0, "s-a", 1000), row(1, "s-b", 2000, DRAINING)],
        [row(0, "s-a", 1000, UP, 5.0)],
        [row(1, "s-b", 2000, GONE)],
        [row(2, "s-c", 2000)],
        [row(0, "s-a", 1000, DRAINING, 5.0), row(3, "s-b", 3000)],
        [],
    ]
    told = [
        [(e.engine_id, e.name, e.zone, e.machine_kind, e.cell, e.status, e.started_at, at) for e, at in some]
        for some, _ in listing.desk.lists
    ]
    assert told == rows and [whole for _, whole in listing.desk.lists] == [True] + [False] * 5
    listing.send(reply(listing.question, 6, B).to_wire())  # the last of these events
    listing.answered()
    listing.ask()
    listing.send(reply(listing.question, 7, records("s-c", 2000, '"started=0"')).to_wire())
    [(be, name, *_)] = listing.told(7)
    assert (be, name) == (2, "s-c")


def test_an_answer_that_says_the_same_again_is_not_read_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """It answers its question all the same; one byte that differs is read, also after an older answer."""
    read: list[int] = []
    real = dns.message.from_wire

    def from_wire(data: bytes) -> dns.message.Message:
        read.append(len(data))
        return real(data)

    listing = Listing(known([member("s-a", 1000)]))

    def tell(serial: int, *engines: list[dns.rrset.RRset]) -> None:
        listing.ask()
        said = reply(listing.question, serial, *engines).to_wire()
        with monkeypatch.context() as patch:
            patch.setattr(dns.message, "from_wire", from_wire)
            listing.send(said)
            until(lambda: int.from_bytes(said[:2]) not in listing.directory.open_queries)

    tell(2, A, B)
    tell(2, A, B)
    assert len(read) == 1 and listing.told(2) == SAME
    tell(3, A)
    assert len(read) == 2 and listing.told(3) == SAME[:1]
    tell(4, A, B)
    assert len(read) == 3 and [name for _, name, *_ in listing.told(4)] == ["s-a", "s-b"]
    forged = reply(listing.question, 4, A, B).to_wire()  # to a question that is answered already
    listing.send(forged)
    tell(5, A)
    assert len(read) == 5 and [name for _, name, *_ in listing.told(5)] == ["s-a"]
