"""Measure the costs of a region's log at several sizes, without a network.

Run as `python -m tests.distribution.log.measure`. It prints one line a size: the memory of a replica's log
for one entry, and the processor time of one change at the publisher and three relays, of a takeover by a
publisher without a log, and of filling an emptied relay.
"""

from __future__ import annotations

import sys
import time
import tracemalloc

from msgspec import msgpack

from linenbridge.distribution.changes import Change, Kind, Version, sealed
from linenbridge.distribution.decisions import Persist
from linenbridge.distribution.messages import Message, Publish
from linenbridge.distribution.log.replica import StoredLog
from tests.distribution.log.world import REGION, Region

CHANGES = 500
INCARNATION = 5


class CountedRegion(Region):
    """A region that also counts the bytes of messages, as a link would transfer them.

    Its disks store nothing: their costs are measured with the store.
    """

    bytes = 0

    def _deliver(self, sender: str, to: str, message: Message) -> None:
        self.bytes += len(msgpack.encode(message))
        super()._deliver(sender, to, message)

    def _write(self, name: str, write: Persist) -> None:
        """Store nothing."""


def filled(keys: int) -> StoredLog:
    """Return a relay's disk with `keys` keys, all committed."""
    changes = list[Change]()
    for number in range(keys):
        name, value = f"service-{number % 1500}/instance-{number}", b"%0100d" % number
        changes.append(sealed(REGION, Version(1, number + 1), Kind.INSTANCE, name, value))
    return StoredLog(INCARNATION, 1, "p", keys, changes)


def memory_of_an_entry(keys: int) -> float:
    """Return the bytes of a replica's log for one entry, without the disk's content and the delivered
    changes."""
    tracemalloc.start()
    region = Region(relays=("a",))
    region.restart("a", filled(keys))
    region.disks["a"] = StoredLog()
    region.committed["a"] = []
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size / keys


def measured_costs(keys: int) -> str:
    """Return the line of one size."""
    memory = memory_of_an_entry(keys)
    region = CountedRegion()
    stored = filled(keys)
    for name in region.names:
        region.restart(name, stored)
    began = time.process_time()
    publisher = region.publisher("p", 2)
    takeover, takeover_bytes = time.process_time() - began, region.bytes
    began, region.bytes = time.process_time(), 0
    for number in range(CHANGES):
        name = f"service-{number % 1500}/instance-{number}"
        publisher.on_publish(region.now, "client", Publish(number, REGION, Kind.INSTANCE, name, b"y" * 100))
        region.deliver_all()
    change, change_bytes = (time.process_time() - began) / CHANGES, region.bytes / CHANGES
    region.restart("c", StoredLog())
    began, region.bytes = time.process_time(), 0
    region.run(2_000)
    fill, fill_bytes = time.process_time() - began, region.bytes
    assert region.replicas["c"].log.committed == publisher.log.committed
    return (
        f"keys {keys}: {memory:.0f} bytes an entry; a change {change * 1e6:.0f} us at a publisher and three "
        f"relays together, {change_bytes:.0f} bytes; a takeover {takeover:.2f} s, "
        f"{takeover_bytes / 1e6:.2f} MB; an emptied relay filled {fill:.2f} s, {fill_bytes / 1e6:.2f} MB"
    )


if __name__ == "__main__":
    for size in [int(argument) for argument in sys.argv[1:]] or [1_000, 10_000, 93_000]:
        print(measured_costs(size), flush=True)
