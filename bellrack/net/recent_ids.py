"""The ids of requests that have come, for as long as a copy of one may still come.

Each connection has a new id (PROTOCOL.md, "Clients to balancers"). A request that comes again under its id
must not run again, whatever became of its client. A copy makes sense only while its client waits for an
answer, so an id has to be remembered for the longest wait that a client may announce and the longest delay of
a retry, counted from the end of its request. Where there is room it is remembered for longer.

An id takes RECORD_BYTES, and the most that are held is BUCKETS * RECORDS_PER_BUCKET. Beyond that the oldest
of a bucket is dropped first, whatever its age. No table is rebuilt: the cost of an id does not grow in steps.
The two processes of a hot restart tell one another the ids that come, so the format is the same in both.
Nothing here does I/O.
"""

from __future__ import annotations

import base64
import struct
from collections.abc import Iterable

BUCKETS = 4096
RECORDS_PER_BUCKET = 256
RECORD = struct.Struct(">6sH")  # the part of the hash that the bucket does not tell, and a time
RECORD_BYTES = RECORD.size
TICKS = 1 << 16  # times are whole seconds modulo this; the longest retention must be far shorter
MIN_RETENTION_SECONDS = 300.0  # also where no client waits for so long; it costs little
MAX_RETENTION_SECONDS = 3600.0
SWEEP_INTERVAL_SECONDS = 1.0
BUCKETS_PER_SWEEP = 64  # all buckets are swept within about a minute


class RecentIds:
    """A set of id hashes (64 bits) that forgets each some time after it was added.

    Times are seconds of the machine's monotonic clock, which both processes of a hot restart share."""

    def __init__(self, retention: float = MIN_RETENTION_SECONDS):
        """`retention`: seconds for which an id is remembered, at least."""
        self.buckets = [bytearray() for _ in range(BUCKETS)]
        self.retention = retention
        self.dropped_early = 0  # ids that were forgotten before their time, as there were too many
        self.next_sweep = 0  # the bucket that is swept next

    @property
    def retention(self) -> float:
        """Seconds for which an id is remembered, at least."""
        return self._retention

    @retention.setter
    def retention(self, seconds: float) -> None:
        self._retention = min(max(seconds, MIN_RETENTION_SECONDS), MAX_RETENTION_SECONDS)

    def add(self, id_hash: int, now: float) -> None:
        """Remembers an id from now on; one that is known is remembered anew."""
        bucket, part = self._locate(id_hash)
        self._drop_expired(bucket, now)
        if len(bucket) >= RECORDS_PER_BUCKET * RECORD_BYTES:
            del bucket[:RECORD_BYTES]
            self.dropped_early += 1
        bucket += RECORD.pack(part, int(now) % TICKS)

    def knows(self, id_hash: int, now: float) -> bool:
        """Whether the id was added within the retention."""
        bucket, part = self._locate(id_hash)
        at = bucket.rfind(part)
        while at >= 0 and at % RECORD_BYTES:
            at = bucket.rfind(part, 0, at + len(part) - 1)
        return at >= 0 and not self._expired(RECORD.unpack_from(bucket, at)[1], now)

    def sweep(self, now: float) -> None:
        """Frees the memory of ids that are forgotten, in some of the buckets; to be called regularly."""
        for _ in range(BUCKETS_PER_SWEEP):
            self._drop_expired(self.buckets[self.next_sweep], now)
            self.next_sweep = (self.next_sweep + 1) % BUCKETS

    def to_message(self) -> list[str]:
        """Returns all ids in the form of `merge_message`."""
        return [base64.b64encode(bucket).decode() for bucket in self.buckets]

    def merge_message(self, message: Iterable[str], now: float) -> None:
        """Adds the ids that another process sent. Those that came to us since stay the latest.

        Raises ValueError or TypeError if the message is malformed."""
        theirs = [base64.b64decode(text, validate=True) for text in message]
        if len(theirs) != BUCKETS or any(len(bucket) % RECORD_BYTES for bucket in theirs):
            raise ValueError("not ids by bucket")
        for bucket, records in zip(self.buckets, theirs):
            bucket[:0] = records
            self._drop_expired(bucket, now)
            del bucket[: max(0, len(bucket) - RECORDS_PER_BUCKET * RECORD_BYTES)]

    def _locate(self, id_hash: int) -> tuple[bytearray, bytes]:
        """The bucket of an id, and what tells it apart there."""
        data = id_hash.to_bytes(8, "big")
        return self.buckets[int.from_bytes(data[:2], "big") % BUCKETS], data[2:]

    def _drop_expired(self, bucket: bytearray, now: float) -> None:
        """Drops the records of forgotten ids at the front of a bucket: its oldest ones."""
        at = 0
        while at < len(bucket) and self._expired(RECORD.unpack_from(bucket, at)[1], now):
            at += RECORD_BYTES
        del bucket[:at]

    def _expired(self, tick: int, now: float) -> bool:
        """Whether a record of this time is older than the retention. One of the next second is not: the
        times of a turn and of a message may differ."""
        age = (int(now) - tick) % TICKS
        return self._retention + 1 < age < TICKS // 2
