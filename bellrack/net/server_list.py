"""The list of servers of one process: lists from discovery are merged here and passed on to the decisions.

Keeps the versions of the list, the cordons that operators set, and which servers stay usable while
the list may be out of date. An older entry never replaces a newer one of the same server
(`fact_versions.py`). Requests to discovery are made in `discovery.py`; servers are chosen by the decisions.
"""

from __future__ import annotations

import math
from collections.abc import Container, Iterable, Iterator
from dataclasses import replace
from typing import Any

from bellrack import model
from bellrack.model import Server
from bellrack.net import lines, log, start_times
from bellrack.net.fact_versions import (
    CordonOrder,
    EntryVersion,
    ListVersions,
    OrderSource,
    supersedes,
)
from bellrack.net.servers import Endpoint


class ServerList:
    """Merges lists into the records of the node's servers. Times are seconds of the node's clock."""

    def __init__(self, node: Any):
        self.node = node
        self.versions = ListVersions()
        self.machine_types: dict[str, int] = {}  # numbers by name, in the order in which lists name them
        self.confirmed = False  # discovery has sent a list since the start
        self.known_list_loaded = False  # a list from before the start names servers
        self.orders: dict[int, CordonOrder] = {}  # the operators' last order, by server id hash

    @property
    def version(self) -> int:
        """The number of the version after which a watch at discovery's current address is requested; 0 if
        that has sent no list."""
        return self.versions.watched.number

    @property
    def cordoned(self) -> dict[int, str]:
        """Names, by id hash, of the servers that operators cordoned."""
        return {id_hash: order.name for id_hash, order in self.orders.items() if order.cordon}

    def on_list(
        self,
        listing: lines.Listing,
        fetched: bool = False,
        at_current_address: bool = True,
        requested_at: float = -math.inf,
    ) -> None:
        """Applies a list, or changes of one, from discovery.

        `fetched`: it is the response to a request for a single list. `at_current_address`: it comes from
        discovery's current address, not from the previous one. `requested_at`: when it was requested; -inf if
        unknown."""
        discovery = self.node.discovery
        source = discovery.address if at_current_address else discovery.previous.address
        address, watched = lines.format_address(source), self.versions.watched
        if listing.whole:
            count_began_at = requested_at - self.node.anchor
        else:
            count_began_at = watched.requested_at if watched.address == address else -math.inf
        version = EntryVersion(address, listing.version, count_began_at, self.node.now - self.node.anchor)
        if fetched and not supersedes(version, self.versions.watched):
            return  # a watch has delivered a newer version since the request
        if at_current_address:
            self.apply_watched(listing, version)
        else:
            self.apply_from_elsewhere(listing, version)
        self.node.hot_restart.publish_news(listing, version)
        self.node.readiness.on_list(listing.whole or bool(self.node.servers))
        self.node.readiness_changed.set()

    def apply_watched(self, listing: lines.Listing, version: EntryVersion) -> None:
        """Applies what our own watch delivered. It delivers everything after that."""
        if listing.whole and not supersedes(version, self.versions.watched):
            self.versions = ListVersions()  # discovery has restarted its versions
        self.merge_newer(listing, ListVersions(version))
        if supersedes(version, self.versions.watched):
            self.versions.on_watch(version)

    def apply_from_elsewhere(self, listing: lines.Listing, version: EntryVersion) -> None:
        """Applies what the sibling received, or the watch at discovery's previous address. Our own watch
        still delivers everything after its own version."""
        if not supersedes(self.versions.watched, version):
            self.merge_newer(listing, ListVersions(version))
            self.versions.on_elsewhere(
                version, listing.whole, [lines.id_hash(e.name) for e in listing.entries]
            )

    def on_predecessor_list(self, listing: lines.Listing, versions: ListVersions) -> None:
        """Applies the whole list of the predecessor. `versions`: how recent its entries are."""
        self.merge_newer(listing, versions)
        self.versions.merge(versions)
        self.note_known_list()

    def on_unchanged(self) -> None:
        """A watch is open and reports no change: the list in use is current."""
        if self.version:
            address = lines.format_address(self.node.discovery.address)
            read_at = self.node.now - self.node.anchor
            self.versions.on_watch(replace(self.versions.watched, address=address, read_at=read_at))
        self.node.readiness.on_list(bool(self.node.servers))
        self.node.readiness_changed.set()
        self.node.balancer.on_servers_listed([])

    def on_failure(self, reached: bool) -> None:
        """A request to discovery failed. `reached`: discovery had accepted the connection."""
        self.node.counters["list_failures"] += 1
        self.node.readiness.on_list_failure()
        self.node.readiness_changed.set()
        self.node.balancer.on_discovery_failed(reached)

    def load_known_list(self, listing: lines.Listing) -> None:
        """Loads a list from before the start, which may be out of date."""
        known = EntryVersion(number=listing.version)
        self.merge(listing, ListVersions(known))
        self.note_known_list()
        # If no server is known, the version stays 0. Otherwise discovery would never send the whole list.
        if self.node.servers:
            self.versions.on_watch(known)

    def note_known_list(self) -> None:
        """Records whether a list from before the start names servers, and whether one of them is ready."""
        servers = self.node.servers.values()
        self.known_list_loaded = self.known_list_loaded or bool(servers)
        self.node.readiness.on_known(any(server.state == model.READY for server in servers))

    def merge_newer(self, listing: lines.Listing, versions: ListVersions) -> None:
        """Merges the entries that are not older than those held. `versions`: those of the list; some entries
        of a whole list may be newer than the list itself."""

        def accepts(id_hash: int) -> bool:
            return self.versions.accepts(id_hash, versions.version_of(id_hash))

        entries = [entry for entry in listing.entries if accepts(lines.id_hash(entry.name))]
        retained = {id_hash for id_hash in self.node.servers if not accepts(id_hash)} if listing.whole else ()
        self.merge(lines.Listing(listing.version, listing.whole, entries), versions, retained)

    def merge(self, listing: lines.Listing, versions: ListVersions, retained: Container[int] = ()) -> None:
        """Merges all entries. `versions`: those of the list, for the log. `retained`: id hashes of servers
        that stay although a whole list lacks them."""
        self.node.counters["list_lines"] += 1
        newest = start_times.newest(entry.row[3] for entry in listing.entries)
        rows = [row for entry in listing.entries if (row := self.record_entry(entry, newest, versions))]
        self.node.apply_entries(rows, listing.whole, retained)
        for server in map(self.node.servers.get, self.cordoned):
            # The record is new, or the sibling has set the cordon: it holds all the same.
            if server and not server.cordoned:
                self.node.balancer.on_cordoned(server, True)

    def record_entry(
        self, entry: lines.Entry, newest: float, versions: ListVersions
    ) -> tuple[int, str, int, int, float, float, int] | None:
        """Updates the record of an entry's server and returns the row that the decisions read: id hash,
        state, cell, zone, weight, start time and machine type; None for a server that is gone and was never
        known. `newest`: the newest start stamp among the entries that came with this one. `versions`: those
        of the list."""
        state, cell, weight, stamp = entry.row
        self.node.counters["bad_weights"] += weight is None
        id_hash = lines.id_hash(entry.name)
        if entry.address is None and id_hash not in self.node.servers:
            return None
        server = self.node.servers.setdefault(id_hash, Server(id_hash))
        server.host_record = server.host_record or Endpoint(entry.name, entry.address)
        server.host_record.address = entry.address or server.host_record.address
        started = self.start_time(server.host_record, stamp, newest)
        if server.local_state and (state != server.state or started != server.started_at):
            version = versions.version_of(id_hash)
            log.event(
                "server",
                name=entry.name,
                state=state,
                was=server.state,
                started=started,
                told_by=version.address or "configuration",
                version=version.number,
            )
        zones, zone = self.node.names.zones, server.zone
        if entry.zone:
            zone = zones.setdefault(entry.zone, len(zones))
        machine = self.machine_types.setdefault(entry.machine, len(self.machine_types))
        return id_hash, state, cell, zone, weight or server.weight, started, machine

    def start_time(self, endpoint: Endpoint, stamp: float, newest: float) -> float:
        """The time of the server's last start on the node's clock; a different stamp is another start."""
        if endpoint.start is None or endpoint.start.stamp != stamp:
            # A server that the list from before the start lacks has started since, whatever its stamp says.
            long_ago = not self.confirmed and not self.known_list_loaded
            endpoint.start = start_times.latest_start(stamp, self.node.now, long_ago, newest)
        return endpoint.start.time

    def to_message(self) -> dict[str, Any]:
        """The list in use, in the form of a whole list from discovery."""
        listed = [s for s in self.node.servers.values() if s.host_record and s.state != model.GONE]
        return lines.list_message(self.entry_rows(listed))

    def entry_rows(self, servers: Iterable[Server]) -> Iterator[tuple]:
        """The rows of these servers' entries, for `lines.list_message`."""
        zones = {index: name for name, index in self.node.names.zones.items()}
        machines = {index: name for name, index in self.machine_types.items()}
        for server in servers:
            yield (
                server.host_record.name,
                server.host_record.address,
                zones.get(server.zone, ""),
                server.state,
                server.cell,
                server.weight,
                server.host_record.start.stamp if server.host_record.start else server.started_at,
                machines.get(server.machine_type, ""),
            )

    def messages_after(self, versions: ListVersions) -> Iterator[tuple[dict[str, Any], EntryVersion]]:
        """The entries that a process with these versions of the list lacks, as messages in the form of
        discovery's, each with its version."""
        ours = self.versions
        if not supersedes(versions.complete, ours.complete):
            yield self.to_message() | {"generation": ours.complete.number}, ours.complete
        for version in sorted(set(ours.newer.values()), key=lambda version: version.read_at):
            id_hashes = [
                id_hash
                for id_hash, later in ours.newer.items()
                if later == version and not supersedes(versions.version_of(id_hash), version)
            ]
            servers = [s for s in map(self.node.servers.get, id_hashes) if s and s.host_record]
            if servers:
                yield lines.list_message(self.entry_rows(servers), version.number, whole=False), version

    def forget_order(self, id_hash: int) -> None:
        """Drops the order of a server whose record is dropped, unless it is a cordon. Otherwise one record
        would stay for each server that was ever uncordoned."""
        if id_hash in self.orders and not self.orders[id_hash].cordon:
            del self.orders[id_hash]

    def mark_doubtful(self, since: float) -> None:
        """The list may lack changes that count as told: new connections go only to servers that accepted one
        since the time `since`. -inf: the list is up to date again."""
        changed = False
        for server in self.node.servers.values():
            doubtful = server.last_accepted < since
            changed = changed or server.doubtful != doubtful
            server.doubtful = doubtful
        if changed:
            self.node.balancer.refresh_usable()

    def mark_untried(self, since: float) -> None:
        """Servers that neither accepted nor were sent a connection since the time `since` get the next call
        without a group. Otherwise, once the list becomes doubtful, only the servers that accepted one lately
        would be usable, and they become fewer and fewer. -inf: the list is recent.

        Calls of a group are not redirected: each further server that holds a group has a cost."""
        for server in self.node.servers.values():
            server.needs_attempt = max(server.last_accepted, server.last_attempted) < since

    def knows(self, name: str) -> bool:
        """Whether a server of that name is listed or cordoned."""
        id_hash = lines.id_hash(name)
        server = self.node.servers.get(id_hash)
        listed = server is not None and server.state != model.GONE and server.host_record is not None
        return listed or id_hash in self.cordoned

    def cordon(self, name: str, on: bool) -> bool:
        """Cordons a server on an operator's request, or uncordons it if `on` is false. Returns False if
        no server of that name is listed or cordoned."""
        if not self.knows(name):
            return False
        order = CordonOrder(name, on, self.node.clock() - self.node.anchor)
        self.on_order(order, OrderSource.OPERATOR)
        return True

    def on_order(self, order: CordonOrder, source: OrderSource) -> None:
        """Applies an order of operators, given at this or another process of the balancer, unless a later one
        is held. The server need not be listed yet."""
        id_hash = lines.id_hash(order.name)
        held = self.orders.get(id_hash)
        if held and not supersedes(order.version, held.version):
            return
        if order != held:
            log.event("by_hand", server=order.name, out=order.cordon, source=source.value)
        self.orders[id_hash] = order
        if server := self.node.servers.get(id_hash):
            self.node.balancer.on_cordoned(server, order.cordon)


def load_known(node: Any) -> None:
    """Loads the list that the configuration contains (`known`), if it is valid."""
    if node.config.known_error:
        log.event("known", taken="nothing", error=node.config.known_error)
    if node.config.known:
        node.server_list.load_known_list(node.config.known)
