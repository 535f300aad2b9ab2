"""Engine discovery: an actor that reads the engine list from the configuration and then follows it by DNS.

It assigns engine ids and tracks the revision of the engine list. A response that is outdated, truncated, from
another server or to another query is ignored.
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

QUERY_INTERVAL_S = protocol.LISTING_PROPAGATION_S / 3  # leaves time for another query if a response is lost
QUERY_RETRY_S = QUERY_INTERVAL_S / 2  # interval between queries while no response arrives
SOCKET_ERROR_PAUSE_S = 0.05
_MAX_WAITING_RESPONSES = 64  # more than there are open queries, so that only repeated responses are dropped
_QUERY_ID_BYTES = 2  # at the start of a DNS message


class OpenQuery(NamedTuple):
    """A DNS query without a response so far."""

    sent_at: float
    message: dns.message.Message


class EngineDiscovery(Actor):
    """Follows the engine list and posts every change of it to the dispatcher.

    Attributes:
        dispatcher: Actor that receives the engine list.
        settings: Settings of the deployment.
        zone_by_lower_case: Zones as the settings spell them, keyed by their name in lower case.
        engine_ids: Engine ids, keyed by name, of the engines in the last list.
        next_engine_id: Counter of engine ids; an id is never used again.
        revision: Revision of the last list; -1 before the first.
        open_queries: Queries that may still be answered, keyed by their DNS ids. A query is removed when its
            response arrives, when the name server changes, or when a response would be too old to be used;
            at most one is added in `QUERY_RETRY_S`.
        last_payload: Last response that was applied, without its DNS id.
        nameserver: Address of the name server.
        sock: Socket for all queries.
    """

    def __init__(
        self, dispatcher: Dispatcher, settings: Settings, initial_engines: Any, nameserver: SocketAddress
    ) -> None:
        """Posts the initial engine list and starts to query the name server.

        Args:
            dispatcher: Actor that receives the engine list.
            settings: Settings of the deployment.
            initial_engines: The value of `known` in the configuration file.
            nameserver: Address of the name server.

        Raises:
            SettingsError: The initial engine list is malformed.
        """
        super().__init__()
        self.dispatcher = dispatcher
        self.settings = settings
        self.zone_by_lower_case = {zone.lower(): zone for zone in settings.zone_index}
        self.engine_ids: dict[str, int] = {}
        self.next_engine_id = count()
        self.revision = -1
        self.open_queries: dict[int, OpenQuery] = {}
        self.last_payload = b""
        self.nameserver = nameserver
        # Kept for all name servers, since no descriptor may be free when the name server changes.
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._read_initial_engines(initial_engines)
        spawn(self._listen)
        self.next_timer_at = clock()

    def set_nameserver(self, nameserver: SocketAddress) -> None:
        """Switches to another name server, which is expected to continue the same revision numbers."""
        self.nameserver = nameserver
        self.open_queries.clear()
        self.next_timer_at = clock()

    def on_timer(self) -> None:
        """Sends one query; the next follows after `QUERY_RETRY_S` unless a response arrives."""
        now = clock()
        self.next_timer_at = now + QUERY_RETRY_S
        oldest_sent_at = now - protocol.MAX_DNS_RESPONSE_AGE_S
        self.open_queries = {
            query_id: query for query_id, query in self.open_queries.items() if query.sent_at > oldest_sent_at
        }
        message = protocol.dns_query()
        self.open_queries[message.id] = OpenQuery(now, message)
        try:
            with gevent.Timeout(QUERY_RETRY_S, TimeoutError):  # a full send buffer must not stop the queries
                self.sock.sendto(message.to_wire(), self.nameserver)
        except OSError as err:
            LOG.warning("name server unreachable", error=str(err))

    def on_response(self, data: bytes) -> None:
        """Applies a response if its revision is newer; a response may arrive after those to later queries."""
        query_id = int.from_bytes(data[:_QUERY_ID_BYTES])
        if (
            self.last_payload
            and data[_QUERY_ID_BYTES:] == self.last_payload
            and query_id in self.open_queries
        ):
            self._close_query(query_id)  # the list is unchanged, and decoding takes 0.2 ms for each engine
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
        """Whether a message is a complete response, without an error, to an open query."""
        query = self.open_queries.get(response.id)
        if query is None or not query.message.is_response(response):
            return False
        return not response.rcode() and not response.flags & dns.flags.TC

    def _close_query(self, query_id: int) -> None:
        del self.open_queries[query_id]
        self.next_timer_at = clock() + QUERY_INTERVAL_S

    def _listen(self) -> None:
        while True:
            try:
                data, sender = self.sock.recvfrom(protocol.MAX_DNS_RESPONSE_BYTES + 1)
                # A previous name server may still respond.
                if sender == self.nameserver and self.mailbox.qsize() < _MAX_WAITING_RESPONSES:
                    self.post(self.on_response, data)
                gevent.sleep(0)  # `recvfrom` lets no other greenlet run as long as datagrams are there
            except OSError as err:
                LOG.warning("name server unreachable", error=str(err))
                gevent.sleep(SOCKET_ERROR_PAUSE_S)  # avoids a busy loop if each call fails at once

    def _read_initial_engines(self, initial_engines: Any) -> None:
        try:
            for event in protocol.initial_list_events(initial_engines):
                self._publish(event.engines, event.is_complete)
            self.revision = protocol.initial_list_revision(initial_engines)
        except (KeyError, TypeError, ValueError, AttributeError) as err:
            raise SettingsError(f"known: {err!r}") from None

    def _publish(self, engines: Iterable[ListedEngine], is_complete: bool) -> None:
        """Posts a list to the dispatcher.

        Args:
            engines: The listed engines.
            is_complete: Whether engines missing from the list have gone; else the list holds only changes.
        """
        listings = [self._listing(engine) for engine in engines]
        is_present = {entry.name: not entry.is_removed for entry, _ in listings}
        self.engine_ids = {
            name: engine_id
            for name, engine_id in self.engine_ids.items()
            if is_present.get(name, not is_complete)
        }
        self.dispatcher.post(self.dispatcher.update_engines, listings, is_complete)

    def _listing(self, engine: ListedEngine) -> EngineListing:
        """Converts an engine of the list, and assigns an id if it is new.

        Names and zones are labels of domain names, which are case-insensitive (RFC 1035, 2.3.3), while the
        schedulers of all routers need the same spelling.
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
