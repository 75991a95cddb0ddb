"""The list of servers as one process holds it: discovery's news go in here, and on to the decisions.

Owns the versions in hand, what operators ordered of servers by hand, and which servers a doubtful list still
lets be used. News that is older than what is held of a server does not replace it (`fact_versions.py`). It
never calls discovery (`discovery.py`) and never chooses a server.
"""

from __future__ import annotations

from collections.abc import Container, Iterable, Iterator
from typing import Any

from bellrack import model
from bellrack.model import Server
from bellrack.net import lines, log, start_times
from bellrack.net.fact_versions import CordonOrder, ListVersions, supersedes
from bellrack.net.servers import Endpoint


class ServerList:
    """What discovery says is noted in the node's servers; times are the node's, in seconds."""

    def __init__(self, node: Any):
        self.node = node
        self.versions = ListVersions()  # by those of discovery's present address
        self.machine_types: dict[str, int] = {}  # by name, numbered as the list brings them
        self.confirmed = False  # discovery has told us a list
        self.loaded = False  # a list from before the start is known
        self.orders: dict[int, CordonOrder] = {}  # by mark: what operators last ordered of a server

    @property
    def version(self) -> int:
        """Of the list in hand."""
        return self.versions.watched

    @version.setter
    def version(self, version: int) -> None:
        """Versions count anew from this one: what was held by others compares with it no more."""
        self.versions = ListVersions(version)

    @property
    def cordoned(self) -> dict[int, str]:
        """Names by mark of the servers that operators took out by hand."""
        return {mark: order.name for mark, order in self.orders.items() if order.cordon}

    def on_list(self, news: lines.Listing, fetched: bool = False, counts: bool = True) -> None:
        """A list or its changes, as discovery wrote it. `counts`: in the versions of its address now."""
        if fetched and news.version < self.version:
            return  # a watch has told newer since it was asked for
        if counts:
            if news.whole and news.version < self.version:
                self.version = news.version  # discovery itself counts anew
            self.merge_newer(news)
            self.versions.on_watch(max(self.version, news.version))
        else:
            self.merge(news)
        self.node.hot_restart.publish_news(news, counts)
        self.node.readiness.on_list(news.whole or bool(self.node.servers))
        self.node.readiness_changed.set()

    def on_sibling_news(self, news: lines.Listing) -> None:
        """What the watch of our other process brought. Our own still brings all since our version."""
        if news.version > self.version:
            self.merge_newer(news)
            self.versions.on_sibling(news.version, news.whole, [lines.id_hash(e.name) for e in news.entries])

    def on_predecessor_list(self, news: lines.Listing, theirs: ListVersions) -> None:
        """The whole list of the process before us, at the same address; `theirs`: how recent it is."""
        self.merge_newer(news, theirs)
        self.versions.merge(theirs)
        self.note_known_list()

    def on_unchanged(self) -> None:
        """A watch stands and brings nothing new: what was listed holds."""
        self.node.readiness.on_list(bool(self.node.servers))
        self.node.readiness_changed.set()
        self.node.balancer.on_servers_listed([])

    def on_failure(self, reached: bool) -> None:
        """Discovery failed; `reached`: it took the connection."""
        self.node.counters["list_failures"] += 1
        self.node.readiness.on_list_failure()
        self.node.readiness_changed.set()
        self.node.balancer.on_discovery_failed(reached)

    def load_known_list(self, news: lines.Listing) -> None:
        """A list from before the start. It may be old."""
        self.merge(news)
        self.note_known_list()

    def note_known_list(self) -> None:
        """A list from before the start is in hand: does it name any server, and one that may be used?"""
        servers = self.node.servers.values()
        self.loaded = self.loaded or bool(servers)
        self.node.readiness.on_known(any(server.state == model.READY for server in servers))

    def merge_newer(self, news: lines.Listing, theirs: ListVersions | None = None) -> None:
        """Merge what is not older than what is held of each server. `theirs`: the versions of a whole list
        some entries of which are later than the list itself."""
        theirs = theirs or ListVersions(news.version)

        def takes(mark: int) -> bool:
            return self.versions.accepts(mark, theirs.version_of(mark))

        entries = [entry for entry in news.entries if takes(lines.id_hash(entry.name))]
        kept = {mark for mark in self.node.servers if not takes(mark)} if news.whole else ()
        self.merge(lines.Listing(news.version, news.whole, entries), kept)

    def merge(self, news: lines.Listing, kept: Container[int] = ()) -> None:
        """`kept`: marks of servers that are not gone although a whole list lacks them."""
        self.node.counters["list_lines"] += 1
        newest = start_times.newest(entry.row[3] for entry in news.entries)
        rows = [row for entry in news.entries if (row := self.record_entry(entry, newest))]
        self.node.apply_entries(rows, news.whole, kept)
        for server in map(self.node.servers.get, self.cordoned):
            if (
                server and not server.cordoned
            ):  # forgotten meanwhile, or told by our other process: it stays out
                self.node.balancer.on_cordoned(server, True)

    def record_entry(
        self, entry: lines.Entry, newest: float
    ) -> tuple[int, str, int, int, float, float, int] | None:
        """An entry as the decisions read it; None of a server that is gone and was never known. `newest`: the
        newest stamp of a start among the entries that came with it."""
        state, cell, weight, stamp = entry.row
        self.node.counters["bad_weights"] += weight is None
        mark = lines.id_hash(entry.name)
        if entry.address is None and mark not in self.node.servers:
            return None
        server = self.node.servers.setdefault(mark, Server(mark))
        server.host_record = server.host_record or Endpoint(entry.name, entry.address)
        server.host_record.address = entry.address or server.host_record.address
        started = self.started(server.host_record, stamp, newest)
        if server.local_state and (state != server.state or started != server.started_at):
            log.event("server", name=entry.name, state=state, was=server.state, started=started)
        zones, zone = self.node.names.zones, server.zone
        if entry.zone:
            zone = zones.setdefault(entry.zone, len(zones))
        machine = self.machine_types.setdefault(entry.machine, len(self.machine_types))
        return mark, state, cell, zone, weight or server.weight, started, machine

    def started(self, endpoint: Endpoint, stamp: float, newest: float) -> float:
        """When the server last started, on our clock: another stamp is another start."""
        if endpoint.start is None or endpoint.start.stamp != stamp:
            # What the list known before lacks has started since that was told, whatever its clock says.
            long_ago = not self.confirmed and not self.loaded
            endpoint.start = start_times.latest_start(stamp, self.node.now, long_ago, newest)
        return endpoint.start.time

    def to_message(self) -> dict[str, Any]:
        """The list in hand, in the form that discovery sends a whole one."""
        listed = [s for s in self.node.servers.values() if s.host_record and s.state != model.GONE]
        return lines.list_message(self.entry_rows(listed))

    def entry_rows(self, servers: Iterable[Server]) -> Iterator[tuple]:
        """What the entry of each has, as `lines.list_message` writes it."""
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

    def news_after(self, versions: ListVersions) -> Iterator[dict[str, Any]]:
        """What a process that holds these versions of the list lacks, as messages of discovery's form."""
        ours = self.versions
        if ours.complete > versions.complete:
            yield self.to_message() | {"generation": ours.complete}
        for version in sorted(set(ours.newer.values())):
            marks = [
                mark for mark, later in ours.newer.items() if later == version > versions.version_of(mark)
            ]
            servers = [s for s in map(self.node.servers.get, marks) if s and s.host_record]
            if servers:
                yield lines.list_message(self.entry_rows(servers), version, whole=False)

    def forget_order(self, mark: int) -> None:
        """Of a server that is forgotten: guards against a record for each one that was ever put back."""
        if mark in self.orders and not self.orders[mark].cordon:
            del self.orders[mark]

    def mark_doubtful(self, window: float) -> None:
        """The list may lack what counts as told: new connections go only to servers that took one within the
        window (seconds). Infinite: the list is good again."""
        since = max(self.node.now - window, self.node.discovery.list_age.proofs_valid_from)
        changed = False
        for server in self.node.servers.values():
            doubtful = server.last_accepted < since
            changed = changed or server.doubtful != doubtful
            server.doubtful = doubtful
        if changed:
            self.node.balancer.refresh_usable()

    def mark_unproved(self, since: float) -> None:
        """Servers that took no connection for so long (seconds), nor were tried, get the next call without a
        group: guards against a list that becomes doubtful, and then only servers that took one lately, fewer
        and fewer, may be used. Infinite: the list is young. Groups stay where they are: each server more that
        has one pays its price."""
        for server in self.node.servers.values():
            server.needs_attempt = self.node.now - max(server.last_accepted, server.last_attempted) > since

    def cordon(self, name: str, out: bool) -> bool:
        """Take a server out by hand, or put it back; no if none of that name is or was listed."""
        mark = lines.id_hash(name)
        server = self.node.servers.get(mark)
        listed = server is not None and server.state != model.GONE and server.host_record is not None
        if mark not in self.cordoned and not listed:
            return False
        self.on_order(CordonOrder(name, out, self.node.clock() - self.node.anchor))
        return True

    def on_order(self, order: CordonOrder) -> None:
        """What operators ordered here, or at our other process, of a server that need not be listed yet."""
        mark = lines.id_hash(order.name)
        held = self.orders.get(mark)
        if held and not supersedes(order.version, held.version):
            return
        self.orders[mark] = order
        if server := self.node.servers.get(mark):
            self.node.balancer.on_cordoned(server, order.cordon)


def load_known(node: Any) -> None:
    """The list that the configuration brings."""
    if node.config.known_error:
        log.event("known", taken="nothing", error=node.config.known_error)
    if node.config.known:
        node.server_list.load_known_list(node.config.known)
        if node.servers:  # guards against a list that was lost and, by its version, is never told again
            node.server_list.version = node.config.known.version
