"""The directory: the actor that keeps the list of engines, from the configuration and then by DNS over UDP.

It owns the indices of engines and the number of the last event. It must never pass on an answer that is old,
cut short, to another question or from elsewhere.
"""

from __future__ import annotations

from itertools import count
from typing import Any

import dns.exception
import dns.flags
import dns.message
import dns.name
import dns.rdatatype
import gevent
from gevent import socket

from marbleworks.model import EngineEntry, EngineStatus
from marbleworks.net.actor import LOG, Actor, clock, spawn
from marbleworks.net.dispatcher import Dispatcher
from marbleworks.settings import Settings, SettingsError

SERVICE = "_rpc._tcp.mesh.local."
MOST_ANSWER = 8000  # bytes, by the protocol
MOST_LATE = 7.0  # seconds after which an answer is of no more use, by the protocol
TOLD_AFTER = 1.5  # seconds after an event at which it counts as told, by the protocol
ASK_EVERY = TOLD_AFTER / 3  # so that one lost answer leaves time for another
ASK_AGAIN = ASK_EVERY / 2  # where none has come
PAUSE = 0.05  # seconds after the socket has failed
STATES = {"Ready": EngineStatus.UP, "Terminating": EngineStatus.DRAINING, "Gone": EngineStatus.GONE}
Listing = tuple[EngineEntry, tuple[str, int]]


class EngineDiscovery(Actor):
    def __init__(
        self, desk: Dispatcher, deployment: Settings, known: Any, nameserver: tuple[str, int]
    ) -> None:
        super().__init__()
        self.desk, self.deployment = desk, deployment
        self.zones = {zone.lower(): zone for zone in deployment.zone_index}
        self.index: dict[str, int] = {}  # of the engines of the last list
        self.numbers = count()
        self.last = -1  # number of the last event known
        # Questions and when they were asked, by their ids. Each ends with its answer, with a move, or when
        # one would come too late; there is one more in each ASK_AGAIN at most.
        self.asked: dict[int, tuple[float, dns.message.Message]] = {}
        self.latest = b""  # the last answer that counted, but for its id
        self.nameserver = nameserver
        # One for life, for all name servers: when one is wanted, descriptors may be used up.
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._known(known)
        spawn(self._listen)
        self.wake_at = clock()

    def move(self, nameserver: tuple[str, int]) -> None:
        """Another name server goes on with the same numbers."""
        self.nameserver = nameserver
        self.asked.clear()
        self.wake_at = clock()

    def _known(self, known: Any) -> None:
        try:
            for notice in known["notices"]:
                pool = notice["pool"]
                self._listed([self._member(member) for member in pool["members"]], bool(pool.get("complete")))
            self.last = int(known["rev"])
        except (KeyError, TypeError, ValueError, AttributeError) as err:
            raise SettingsError(f"known: {err!r}") from None

    def _listed(self, listing: list[Listing], whole: bool) -> None:
        there = {entry.name: not entry.is_gone for entry, _ in listing}
        self.index = {name: be for name, be in self.index.items() if there.get(name, not whole)}
        self.desk.post(self.desk.update_engines, listing, whole)

    def _member(self, member: dict[str, Any]) -> Listing:
        host, _, port = member["host_port"].rpartition(":")
        words = member.get("locality", ""), member.get("flavor", "")
        state, started = STATES[member["phase"]], float(member.get("up_since_ms", 0)) / 1000.0
        return self._entry(member["id"], words, int(member.get("cell", -1)), state, started), (
            host,
            int(port),
        )

    def _entry(
        self, name: str, words: tuple[str, str], cell: int, listed: EngineStatus, started: float
    ) -> EngineEntry:
        """Ids and zones are labels of names, and those may come in either case (RFC 1035, 2.3.3); the
        decisions of all routers go by one spelling."""
        name, zone = name.lower(), self.zones.get(words[0].lower(), words[0])
        if name not in self.index:
            self.index[name] = next(self.numbers)
        be = self.index[name]
        return self.deployment.engine_entry(be, name, (zone, words[1]), cell, listed, started)

    def on_timer(self) -> None:
        """Asks once; sooner again where no answer comes."""
        now = clock()
        self.wake_at = now + ASK_AGAIN
        self.asked = {no: asked for no, asked in self.asked.items() if asked[0] > now - MOST_LATE}
        question = dns.message.make_query(SERVICE, dns.rdatatype.SRV)
        self.asked[question.id] = now, question
        try:
            with gevent.Timeout(ASK_AGAIN, TimeoutError):  # or a full buffer would end the asking
                self.sock.sendto(question.to_wire(), self.nameserver)
        except OSError as err:
            LOG.warning("directory unreached", error=str(err))

    def _listen(self) -> None:
        while True:
            try:
                data, sender = self.sock.recvfrom(MOST_ANSWER + 1)
                if sender == self.nameserver:  # also where one that we have left still answers
                    self.post(self.heard, data)
            except OSError as err:
                LOG.warning("directory unreached", error=str(err))
                gevent.sleep(PAUSE)  # it may fail at once time and again

    def heard(self, data: bytes) -> None:
        """It may come after later questions were asked and answered: what it tells counts by its number."""
        if self.latest and data[2:] == self.latest and int.from_bytes(data[:2]) in self.asked:
            self._answered(int.from_bytes(data[:2]))  # nothing new: reading it costs 0.2 ms an engine
            return
        try:
            answer = dns.message.from_wire(data)
            asked = self.asked.get(answer.id)
            ours = asked is not None and asked[1].is_response(answer)
            if not ours or answer.rcode() or answer.flags & dns.flags.TC:
                return
            serial = next(r[0].serial for r in answer.authority if r.rdtype == dns.rdatatype.SOA)
            if serial < self.last:
                return
            if serial > self.last:
                self._listed(_engines(answer, self._entry), True)
                self.last = serial
        except (dns.exception.DNSException, ValueError, KeyError, StopIteration, IndexError) as err:
            LOG.warning("directory answer unreadable", error=repr(err))
        else:
            self.latest = data[2:]
            self._answered(answer.id)

    def _answered(self, number: int) -> None:
        del self.asked[number]
        self.wake_at = clock() + ASK_EVERY


def _engines(answer: dns.message.Message, entry: Any) -> list[Listing]:
    hosts: dict[dns.name.Name, str] = {}
    facts: dict[dns.name.Name, dict[str, str]] = {}
    targets: list[Any] = []
    for records in [*answer.answer, *answer.additional]:
        if records.rdtype == dns.rdatatype.SRV:
            targets += records
        elif records.rdtype == dns.rdatatype.A:
            hosts[records.name] = records[0].address
        elif records.rdtype == dns.rdatatype.TXT:
            pairs = (string.decode().partition("=") for string in records[0].strings)
            facts[records.name] = {key: value for key, _, value in pairs}
    listing = []
    for srv in targets:
        name, zone = (label.decode() for label in srv.target.labels[:2])
        fact = facts[srv.target]
        state = EngineStatus.UP if srv.priority == 0 else EngineStatus.DRAINING
        words, started = (zone, fact.get("kind", "")), float(fact.get("started", 0)) / 1000.0
        found = entry(name, words, int(fact.get("cell", -1)), state, started)
        listing.append((found, (hosts[srv.target], srv.port)))
    return listing
