"""The state that the two processes of a hot restart share, and how it is merged.

`snapshot` makes the predecessor's state, `adopt` merges it into what the successor has learned while it
waited for its turn, and `replies` makes messages with what the predecessor lacks. Of each fact one version is
kept:

| fact | version that is kept |
| --- | --- |
| a server's entry in the list | the later by discovery's versions, across its addresses the one that was read later (`fact_versions.EntryVersion`); one that was read from discovery rather than one of the configuration's list |
| an operator's order to detach or attach a server | the latest, by the machine's monotonic clock |
| the age of the list, and when servers last accepted a connection | of both, together (`ListAge.merge`); not where the two have different discovery addresses |
| what is learned of a server, and when it started | the predecessor's, which has observed it for longer; none where its list has an earlier start of the server than ours |
| ids of requests | those of both; each tells the other at once which come (`request_ids.py`) |
| the period in which resumed connections are admitted | the earlier start; an ordinary request has been seen if either process has seen one |

Times are sent as seconds on the predecessor's clock; `HotRestart.clock_ahead` converts them to ours.
"""  # noqa: E501

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

from bellrack.net import lines, log, sibling
from bellrack.net.fact_versions import (
    READ_AT_UNKNOWN,
    CordonOrder,
    EntryVersion,
    ListVersions,
    OrderSource,
)

# Two processes that read the offset of the wall clock get values that differ by less, unless it was stepped.
SAME_CLOCK_SECONDS = 1e-3


def snapshot(node: Any) -> dict[str, Any]:
    """Return the state that a successor gets with the listening socket, as a JSON object."""
    versions, orders = node.server_list.versions, node.server_list.orders.values()
    return {
        "version": sibling.VERSION,
        "list": node.server_list.to_message(),
        "list_versions": older_form(versions, lines.format_address(node.discovery.address)),
        "entry_versions": {
            "complete": versions.complete.to_row(),
            "newer": {str(id_hash): version.to_row() for id_hash, version in versions.newer.items()},
        },
        "list_age": node.discovery.doubt.to_message(with_proofs=True),
        "learned": node.export_learned(),
        "out": list(node.server_list.cordoned.values()),  # for older versions, which ignore "orders"
        "orders": [order.to_row() for order in orders],
        # For older releases, which remember ids as they are. They learn those of open requests alone.
        "seen": [client.request_id for client in node.limits.open_ids.values()],
        "recent_ids": node.request_ids.to_message(),
        "started": node.resumed.window.started,
        "anchor": node.anchor,
        "requested": node.resumed.window.requested,
    }


def older_form(versions: ListVersions, discovery: str) -> dict[str, Any] | None:
    """Return the versions in the form of older releases, which know one address of discovery; None if they
    are those of another address."""
    addresses = {versions.complete.address, *(version.address for version in versions.newer.values())}
    if not addresses <= {discovery, ""}:
        return None
    newer = {str(id_hash): version.number for id_hash, version in versions.newer.items()}
    return {"discovery": discovery, "complete": versions.complete.number, "later": newer}


def news_message(news: dict[str, Any], version: EntryVersion) -> dict[str, Any]:
    """Return the message for the other process about an update of the list, in the form of discovery's."""
    return {"news": news, "discovery": version.address, "entry_version": version.to_row()}


def news_version(message: dict[str, Any], news: lines.Listing) -> EntryVersion:
    """Return the version of an update that the other process sent. Raises ValueError or TypeError."""
    if "entry_version" in message:
        return EntryVersion.from_row(message["entry_version"])
    return EntryVersion(str(message.get("discovery")), news.version, read_at=READ_AT_UNKNOWN)


@dataclass
class Predecessor:
    """Reads a snapshot of the predecessor."""

    state: dict[str, Any]

    def orders(self) -> list[CordonOrder]:
        """Return the operators' orders that the predecessor knows.

        An older version sends no times; then every order given to this process counts as later."""
        if "orders" in self.state:
            return [CordonOrder.from_row(row) for row in self.state["orders"]]
        return [CordonOrder(str(name), True, 0.0) for name in self.state.get("out", ())]

    def list_versions(self) -> ListVersions | None:
        """Return the versions of its list; None if absent, from an older release."""
        if "entry_versions" in self.state:
            sent = self.state["entry_versions"]
            newer = {int(id_hash): EntryVersion.from_row(row) for id_hash, row in sent["newer"].items()}
            return ListVersions(EntryVersion.from_row(sent["complete"]), newer=newer)
        if self.state.get("list_versions") is None:
            return None
        return self.older_list_versions(self.state["list_versions"])

    @staticmethod
    def older_list_versions(sent: dict[str, Any]) -> ListVersions:
        """Return the versions that an older release sends: numbers of one address, without times."""

        def version(number: Any) -> EntryVersion:
            return EntryVersion(sent["discovery"], int(number), read_at=READ_AT_UNKNOWN)

        newer = {int(id_hash): version(number) for id_hash, number in sent["later"].items()}
        return ListVersions(version(sent["complete"]), newer=newer)


def adopt(node: Any, state: dict[str, Any]) -> None:
    """Merge the predecessor's state into the node's.

    A part that cannot be read, as another version wrote it, is skipped; the other parts are still adopted,
    above all which servers are detached."""
    predecessor = Predecessor(state)
    for part in (adopt_clock, adopt_orders, adopt_list, adopt_list_age, adopt_learned, adopt_requests):
        adopt_part(part, node, predecessor)


def adopt_part(part: Callable[[Any, Predecessor], None], node: Any, predecessor: Predecessor) -> None:
    """Call one of the adopt functions; log a part that cannot be read."""
    try:
        part(node, predecessor)
    except (ValueError, TypeError, AttributeError, KeyError) as error:
        log.event("handover", taken="in part", without=part.__name__, error=repr(error))


def adopt_clock(node: Any, predecessor: Predecessor) -> None:
    """Compute by how much our clock is ahead of the predecessor's.

    Each process adds an offset to the monotonic clock that it reads once, at its start, from the wall clock.
    The wall clock may have been stepped between the two starts."""
    ahead = node.anchor - float(predecessor.state.get("anchor", node.anchor))
    node.hot_restart.clock_ahead = ahead if abs(ahead) > SAME_CLOCK_SECONDS else 0.0


def adopt_orders(node: Any, predecessor: Predecessor) -> None:
    """Adopt the operators' orders."""
    for order in predecessor.orders():
        node.server_list.on_order(order, OrderSource.PREDECESSOR)


def adopt_list(node: Any, predecessor: Predecessor) -> None:
    """Merge the server list. One without versions is used only if discovery has sent us none."""
    news, server_list = lines.parse_list(predecessor.state.get("list")), node.server_list
    theirs = predecessor.list_versions()
    if theirs is not None:
        server_list.on_predecessor_list(news, theirs)
    elif not server_list.confirmed:
        server_list.merge(news, ListVersions(EntryVersion(read_at=READ_AT_UNKNOWN)))
        server_list.note_known_list()


def adopt_list_age(node: Any, predecessor: Predecessor) -> None:
    """Adopt the age of the predecessor's list and the proofs of its servers; an older version sends none."""
    if "list_age" in predecessor.state:
        node.discovery.doubt.on_sibling_age(predecessor.state["list_age"])


def adopt_learned(node: Any, predecessor: Predecessor) -> None:
    """Adopt what the predecessor has learned of the servers.

    A server that has restarted since the predecessor received its entry is left out: it is cold, and would be
    treated as warm."""
    learned = dict(predecessor.state.get("learned", {}))
    entries = lines.parse_list(predecessor.state.get("list")).entries
    stamps = {str(lines.id_hash(entry.name)): entry.row[3] for entry in entries}
    learned["servers"] = {
        id_hash: values
        for id_hash, values in learned.get("servers", {}).items()
        if same_start(node.servers.get(int(id_hash)), stamps.get(id_hash))
    }
    node.import_learned(learned, clock_ahead=node.hot_restart.clock_ahead)


def same_start(server: Any, stamp: float | None) -> bool:
    """Return whether the predecessor's list and ours have the same start stamp of a server."""
    return server is not None and server.host_record is not None and server.host_record.start.stamp == stamp


def adopt_requests(node: Any, predecessor: Predecessor) -> None:
    """Adopt recent ids and the period for resumed connections, which a hot restart does not extend."""
    state, window = predecessor.state, node.resumed.window
    node.request_ids.adopt(state)
    window.requested = window.requested or state.get("requested") is True
    if "started" in state:
        window.started = min(window.started, float(state["started"]) + node.hot_restart.clock_ahead)


def replies(node: Any, state: dict[str, Any]) -> Iterator[dict[str, Any]]:
    """Yield messages with what the predecessor lacks, judging by its state: we may have received more."""
    predecessor = Predecessor(state)
    yield from order_replies(node, predecessor)
    theirs = predecessor.list_versions()
    if theirs is not None:
        for news, version in node.server_list.messages_after(theirs):
            yield news_message(news, version)


def order_replies(node: Any, predecessor: Predecessor) -> Iterator[dict[str, Any]]:
    """Yield messages with the operators' orders that the predecessor lacks."""
    known_orders = {order.name: order for order in predecessor.orders()}
    for order in node.server_list.orders.values():
        if order != known_orders.get(order.name):
            yield order_message(order)


def order_message(order: CordonOrder) -> dict[str, Any]:
    """Return the message for the other process about an operator's order."""
    return {"out" if order.cordon else "back": order.name, "given": order.ordered_at}
