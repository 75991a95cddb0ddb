"""What two processes of one balancer know, made one when the second takes over from the first.

`snapshot` is what the predecessor gives, `adopt` merges it into what the successor was told while it waited,
and `replies` is what the predecessor has to hear in return. Of each fact one version holds:

| fact | which version holds |
| --- | --- |
| a server's entry in the list | the later by discovery's versions (`fact_versions.supersedes`); where the two have different discovery addresses, our own if discovery has told it, else the predecessor's |
| what operators ordered of a server | the one given last, by the machine's monotonic clock |
| what was learned of a server, and when it started | the predecessor's, which has seen it longer; nothing where its entry tells of an earlier start than ours |
| ids that have ended | both |
| the time in which resumed connections are admitted | the earlier start; the run has begun if either knows it |

Times go over as seconds on the predecessor's clock; `HotRestart.clock_ahead` shifts them to ours.
"""  # noqa: E501

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

from bellrack.net import lines, log, sibling
from bellrack.net.fact_versions import CordonOrder, ListVersions

SAME_CLOCK = 1e-3  # seconds by which two anchors may differ that were read with the clock untouched


def snapshot(node: Any) -> dict[str, Any]:
    """What the process that comes after us is given with the listening socket."""
    versions, orders = node.server_list.versions, node.server_list.orders.values()
    return {
        "version": sibling.VERSION,
        "list": node.server_list.to_message(),
        "list_versions": {
            "discovery": lines.format_address(node.discovery.address),
            "complete": versions.complete,
            "later": {str(mark): version for mark, version in versions.newer.items()},
        },
        "learned": node.export_learned(),
        "out": list(node.server_list.cordoned.values()),  # for versions that do not read the orders
        "orders": [[order.name, order.cordon, order.ordered_at] for order in orders],
        "seen": [*node.limits.recent_ids, *node.limits.open_ids],
        "started": node.resumed.window.started,
        "anchor": node.anchor,
        "requested": node.resumed.window.requested,
    }


@dataclass
class Predecessor:
    """What a snapshot tells of the process that wrote it."""

    told: dict[str, Any]

    def orders(self) -> list[CordonOrder]:
        """An older version tells no times: whatever was ordered here is later than its orders."""
        if "orders" in self.told:
            return [CordonOrder(str(name), bool(out), float(at)) for name, out, at in self.told["orders"]]
        return [CordonOrder(str(name), True, 0.0) for name in self.told.get("out", ())]

    def list_versions(self, discovery: tuple[str, int]) -> ListVersions | None:
        """Of its list; None if they are of another discovery address, or not told."""
        told = self.told.get("list_versions")
        if told is None or told["discovery"] != lines.format_address(discovery):
            return None
        later = {int(mark): int(version) for mark, version in told["later"].items()}
        return ListVersions(int(told["complete"]), newer=later)


def adopt(node: Any, told: dict[str, Any]) -> None:
    """Merge what the predecessor told into what we know. A part in a form of another version is left, and
    hinders no other: above all not which servers are detached."""
    predecessor = Predecessor(told)
    for part in (adopt_clock, adopt_orders, adopt_list, adopt_learned, adopt_requests):
        guarded(part, node, predecessor)


def guarded(part: Callable[[Any, Predecessor], None], node: Any, predecessor: Predecessor) -> None:
    try:
        part(node, predecessor)
    except (ValueError, TypeError, AttributeError, KeyError) as error:
        log.event("handover", taken="in part", without=part.__name__, error=repr(error))


def adopt_clock(node: Any, predecessor: Predecessor) -> None:
    """The wall clock may have been stepped between the two starts, to which each clock is anchored."""
    ahead = node.anchor - float(predecessor.told.get("anchor", node.anchor))
    node.hot_restart.clock_ahead = ahead if abs(ahead) > SAME_CLOCK else 0.0


def adopt_orders(node: Any, predecessor: Predecessor) -> None:
    for order in predecessor.orders():
        node.server_list.on_order(order)


def adopt_list(node: Any, predecessor: Predecessor) -> None:
    news, server_list = lines.parse_list(predecessor.told.get("list")), node.server_list
    theirs = predecessor.list_versions(node.discovery.address)
    if theirs is not None:
        server_list.on_predecessor_list(news, theirs)
    elif not server_list.confirmed:
        server_list.load_known_list(news)


def adopt_learned(node: Any, predecessor: Predecessor) -> None:
    """Not of a server that has started anew since the predecessor heard of it: guards against a cold server
    that is taken for warm."""
    learned = dict(predecessor.told.get("learned", {}))
    entries = lines.parse_list(predecessor.told.get("list")).entries
    stamps = {str(lines.id_hash(entry.name)): entry.row[3] for entry in entries}
    learned["servers"] = {
        mark: values
        for mark, values in learned.get("servers", {}).items()
        if same_start(node.servers.get(int(mark)), stamps.get(mark))
    }
    node.import_learned(learned, later=node.hot_restart.clock_ahead)


def same_start(server: Any, stamp: float | None) -> bool:
    """Does this stamp of the predecessor's list tell of the server's last start that we know?"""
    return server is not None and server.host_record is not None and server.host_record.start.stamp == stamp


def adopt_requests(node: Any, predecessor: Predecessor) -> None:
    """A hot restart does not extend the time in which resumed connections are admitted."""
    told, window = predecessor.told, node.resumed.window
    node.limits.recent_ids = dict.fromkeys(told.get("seen", ())) | node.limits.recent_ids
    window.requested = window.requested or told.get("requested") is True  # the run has begun
    if "started" in told:
        window.started = min(window.started, float(told["started"]) + node.hot_restart.clock_ahead)


def replies(node: Any, told: dict[str, Any]) -> Iterator[dict[str, Any]]:
    """Messages of what the predecessor lacks: it heard less than we did while we waited."""
    predecessor = Predecessor(told)
    yield from order_replies(node, predecessor)
    theirs = predecessor.list_versions(node.discovery.address)
    if theirs is not None:
        for news in node.server_list.news_after(theirs):
            yield {"news": news, "discovery": lines.format_address(node.discovery.address)}


def order_replies(node: Any, predecessor: Predecessor) -> Iterator[dict[str, Any]]:
    heard = {order.name: order for order in predecessor.orders()}
    for order in node.server_list.orders.values():
        if order != heard.get(order.name):
            yield order_message(order)


def order_message(order: CordonOrder) -> dict[str, Any]:
    """As both processes tell each other what operators ordered."""
    return {"out" if order.cordon else "back": order.name, "given": order.ordered_at}
