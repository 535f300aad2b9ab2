"""Engine discovery: an actor that follows the list of engines, from the configuration and then by DNS.

It owns the ids of engines and the revision of the list. A response that is old, cut short, from another
server or to another question changes nothing.
"""

from __future__ import annotations

from collections.abc import Iterable
from itertools import count
from typing import Any, NamedTuple

import dns.exception
import dns.flags
import dns.message
import gevent
from gevent import socket

from marbleworks.net import engine_protocol as protocol
from marbleworks.net.actor import LOG, Actor, clock, spawn
from marbleworks.net.addresses import SocketAddress
from marbleworks.net.dispatcher import Dispatcher
from marbleworks.net.engine_protocol import ListedEngine
from marbleworks.net.messages import EngineListing
from marbleworks.settings import Settings, SettingsError

QUERY_INTERVAL_S = protocol.LISTING_PROPAGATION_S / 3  # so that one lost response leaves time for another
QUERY_RETRY_S = QUERY_INTERVAL_S / 2  # where no response has come
SOCKET_ERROR_PAUSE_S = 0.05
_QUERY_ID_BYTES = 2  # at the start of a DNS message


class OpenQuery(NamedTuple):
    """A question that no response has answered yet."""

    sent_at: float
    message: dns.message.Message


class EngineDiscovery(Actor):
    """Tells the dispatcher of every change of the list.

    known: the list of the configuration. Raises SettingsError where that can't be read.
    """

    def __init__(
        self, dispatcher: Dispatcher, settings: Settings, known: Any, nameserver: SocketAddress
    ) -> None:
        super().__init__()
        self.dispatcher = dispatcher
        self.settings = settings
        self.zone_by_lower_case = {zone.lower(): zone for zone in settings.zone_index}
        self.engine_ids: dict[str, int] = {}  # by name, of the engines of the last list
        self.next_engine_id = count()
        self.revision = -1  # of the last list
        # By their ids. Each ends with its response, with another name server, or when a response would come
        # too late; there is one more in each QUERY_RETRY_S at most.
        self.open_queries: dict[int, OpenQuery] = {}
        self.last_payload = b""  # of the last response that counted, without its id
        self.nameserver = nameserver
        # One for life, for all name servers: when one is wanted, descriptors may be used up.
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._read_known(known)
        spawn(self._listen)
        self.wake_at = clock()

    def set_nameserver(self, nameserver: SocketAddress) -> None:
        """Goes on with another name server, which counts revisions as the last one did."""
        self.nameserver = nameserver
        self.open_queries.clear()
        self.wake_at = clock()

    def on_timer(self) -> None:
        """Sends one query; sooner again where no response comes."""
        now = clock()
        self.wake_at = now + QUERY_RETRY_S
        oldest = now - protocol.MAX_DNS_RESPONSE_AGE_S
        self.open_queries = {no: query for no, query in self.open_queries.items() if query.sent_at > oldest}
        message = protocol.dns_query()
        self.open_queries[message.id] = OpenQuery(now, message)
        try:
            with gevent.Timeout(QUERY_RETRY_S, TimeoutError):  # or a full buffer would end the queries
                self.sock.sendto(message.to_wire(), self.nameserver)
        except OSError as err:
            LOG.warning("name server unreachable", error=str(err))

    def on_response(self, data: bytes) -> None:
        """Applies a response, which may come after later queries were answered: its revision decides."""
        query_id = int.from_bytes(data[:_QUERY_ID_BYTES])
        if (
            self.last_payload
            and data[_QUERY_ID_BYTES:] == self.last_payload
            and query_id in self.open_queries
        ):
            self._close_query(query_id)  # nothing new: decoding it would cost 0.2 ms an engine
            return
        try:
            response = dns.message.from_wire(data)
            if not self._is_usable(response):
                return
            revision = protocol.dns_revision(response)
            if revision < self.revision:
                return
            if revision > self.revision:
                self._publish(protocol.dns_engines(response), True)
                self.revision = revision
        except (dns.exception.DNSException, ValueError, KeyError, StopIteration, IndexError) as err:
            LOG.warning("name server response unreadable", error=repr(err))
        else:
            self.last_payload = data[_QUERY_ID_BYTES:]
            self._close_query(response.id)

    def _is_usable(self, response: dns.message.Message) -> bool:
        """Whether it is a whole response to an open query."""
        query = self.open_queries.get(response.id)
        if query is None or not query.message.is_response(response):
            return False
        return not response.rcode() and not response.flags & dns.flags.TC

    def _close_query(self, query_id: int) -> None:
        del self.open_queries[query_id]
        self.wake_at = clock() + QUERY_INTERVAL_S

    def _listen(self) -> None:
        while True:
            try:
                data, sender = self.sock.recvfrom(protocol.MAX_DNS_RESPONSE_BYTES + 1)
                if sender == self.nameserver:  # also where one that we have left still responds
                    self.post(self.on_response, data)
            except OSError as err:
                LOG.warning("name server unreachable", error=str(err))
                gevent.sleep(SOCKET_ERROR_PAUSE_S)  # it may fail at once time and again

    def _read_known(self, known: Any) -> None:
        try:
            for event in protocol.known_events(known):
                self._publish(event.engines, event.is_complete)
            self.revision = protocol.known_revision(known)
        except (KeyError, TypeError, ValueError, AttributeError) as err:
            raise SettingsError(f"known: {err!r}") from None

    def _publish(self, engines: Iterable[ListedEngine], is_complete: bool) -> None:
        """Posts a list to the dispatcher; is_complete: engines that it does not name have gone."""
        listings = [self._listing(engine) for engine in engines]
        present = {entry.name: not entry.is_gone for entry, _ in listings}
        self.engine_ids = {
            name: engine_id
            for name, engine_id in self.engine_ids.items()
            if present.get(name, not is_complete)
        }
        self.dispatcher.post(self.dispatcher.update_engines, listings, is_complete)

    def _listing(self, engine: ListedEngine) -> EngineListing:
        """Gives an engine its id.

        Names and zones are labels of domain names, which may come in either case (RFC 1035, 2.3.3); the
        schedulers of all routers go by one spelling.
        """
        name = engine.name.lower()
        zone = self.zone_by_lower_case.get(engine.zone.lower(), engine.zone)
        if name not in self.engine_ids:
            self.engine_ids[name] = next(self.next_engine_id)
        entry = self.settings.engine_entry(
            self.engine_ids[name],
            name,
            (zone, engine.machine_kind),
            engine.cell,
            engine.status,
            engine.started_at,
        )
        return EngineListing(entry, engine.address)
