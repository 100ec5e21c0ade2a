"""Publishes changes with `linenbridge publish` during an upgrade and records the outcome of each change.

Each thread runs one command at a time, alternating between the base and the present version. A command that
fails is not retried; its output is recorded.
"""

from __future__ import annotations

import json
import threading
from collections.abc import Sequence
from dataclasses import dataclass, field

import msgspec

from linenbridge.distribution.changes import InstanceValue, Kind, TenantValue, ZoneValue
from tests.distribution.hosting.installation import ROUTES, Installation
from tests.upgrade.checkout import Checkout
from tests.upgrade.checks import Acknowledged

KEYS = 7  # names for each kind and thread, after which the names repeat
IN_FORCE, ACCEPTED, REJECTED, UNKNOWN = range(4)  # exit codes of the command


@dataclass(frozen=True, slots=True)
class Request:
    """One change: `text` is the input of the command, `value` the stored bytes.

    A change with empty `text` and `value` deletes the key.
    """

    kind: Kind
    name: str
    text: str
    value: bytes


def request(thread: int, number: int) -> Request:
    """Return change `number` of a thread: the kinds take turns, and some changes delete a tenant."""
    name = f"{thread}-{number // 5 % KEYS}"
    match number % 5:
        case 0:
            text = ROUTES.format(soft=100 + number)
            return Request(Kind.ROUTES, f"service-{name}", text, text.encode())
        case 1:
            found = InstanceValue(3, "a", "c1", 1, 4.0, 1 + number, "127.0.0.1", 9)
            return _as_json(Kind.INSTANCE, f"service-{thread}/{name}", found)
        case 2:
            return _as_json(Kind.ZONE, f"zone-{name}", ZoneValue(bool(number % 2)))
        case 3 if number % 3 == 0:
            return Request(Kind.TENANT, f"tenant-{name}", "", b"")
        case _:
            return _as_json(Kind.TENANT, f"tenant-{name}", TenantValue(1 / (1 + number)))


def _as_json(kind: Kind, name: str, value: msgspec.Struct) -> Request:
    text = json.dumps(msgspec.structs.asdict(value))
    return Request(kind, name, text, msgspec.msgpack.encode(value))


@dataclass
class Outcomes:
    """Outcomes of all changes. Changes in `unknown` may be in force, those in `rejected` are not."""

    acknowledged: list[Acknowledged] = field(default_factory=list)
    codes: dict[tuple[str, int], int] = field(default_factory=dict)  # by checkout's label and exit code
    rejected: list[str] = field(default_factory=list)
    unknown: list[str] = field(default_factory=list)


class ChangeLoad:
    """Threads that publish changes between `start` and `stop`."""

    def __init__(self, installation: Installation, checkouts: Sequence[Checkout], threads: int) -> None:
        self.outcomes = Outcomes()
        self._installation = installation
        self._checkouts = checkouts
        self._ended = threading.Event()
        self._lock = threading.Lock()
        self._threads = [threading.Thread(target=self._publish_all, args=(n,)) for n in range(threads)]

    def start(self) -> None:
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Start no more changes and wait until the running commands have ended."""
        self._ended.set()
        for thread in self._threads:
            thread.join()

    def acknowledged(self) -> int:
        """Return the number of changes acknowledged so far."""
        with self._lock:
            return len(self.outcomes.acknowledged)

    def publish(self, wanted: Request, checkout: Checkout) -> int:
        """Publish one change, record its outcome, and return the exit code of the command."""
        options = ["--json"] if wanted.value else ["--json", "--delete"]
        command = self._installation.begin_publish(
            wanted.name, wanted.text, *options, kind=wanted.kind.name.lower(), launch=checkout.launch
        )
        result = self._installation.publish_result(command)
        rows = [json.loads(line) for line in result.lines]
        accepted = [row["version"] for row in rows if row["state"] == "accepted"]
        description = (
            f"{wanted.kind.name.lower()} {wanted.name} by {checkout.label}: {result.lines} {result.error}"
        )
        with self._lock:
            found = self.outcomes
            found.codes[checkout.label, result.code] = found.codes.get((checkout.label, result.code), 0) + 1
            found.acknowledged += [
                Acknowledged(wanted.kind, wanted.name, wanted.value, row["epoch"], row["sequence"])
                for row in accepted
            ]
            if result.code not in (IN_FORCE, ACCEPTED) and not accepted:
                (found.unknown if result.code == UNKNOWN else found.rejected).append(description)
        return result.code

    def _publish_all(self, thread: int) -> None:
        number = 0
        while not self._ended.is_set():
            self.publish(request(thread, number), self._checkouts[(thread + number) % len(self._checkouts)])
            number += 1
