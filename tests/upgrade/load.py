"""Changes published by `linenbridge publish` for as long as an upgrade lasts, and what became of each.

Owns the threads that run the command, one change at a time in each, by the base's program and by this
version's in turns. What a command printed is kept; nothing is repeated here.
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

KEYS = 7  # names of each kind and thread: a key is published again after so many changes of its kind
IN_FORCE, ACCEPTED, REJECTED, UNKNOWN = range(4)  # exit codes of the command


@dataclass(frozen=True, slots=True)
class Request:
    """One change as the command takes it (`kind`, `text`) and as it is stored (`value`); an empty `text` with
    an empty value deletes the key."""

    kind: Kind
    name: str
    text: str
    value: bytes


def request(thread: int, number: int) -> Request:
    """The change of this number: all kinds by turns, a tenant deleted now and then."""
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
    """What became of all changes. `unknown` may or may not be in force, `rejected` is not."""

    acknowledged: list[Acknowledged] = field(default_factory=list)
    codes: dict[tuple[str, int], int] = field(default_factory=dict)  # by checkout's label and exit code
    rejected: list[str] = field(default_factory=list)
    unknown: list[str] = field(default_factory=list)


class ChangeLoad:
    """Threads that publish from `start` to `stop`."""

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
        """Ends after the changes that are under way."""
        self._ended.set()
        for thread in self._threads:
            thread.join()

    def acknowledged(self) -> int:
        """How many changes are acknowledged so far."""
        with self._lock:
            return len(self.outcomes.acknowledged)

    def publish(self, wanted: Request, checkout: Checkout) -> int:
        """One change; the exit code of the command."""
        more = ["--json"] if wanted.value else ["--json", "--delete"]
        command = self._installation.begin_publish(
            wanted.name, wanted.text, *more, kind=wanted.kind.name.lower(), launch=checkout.launch
        )
        result = self._installation.publish_result(command)
        rows = [json.loads(line) for line in result.lines]
        accepted = [row["version"] for row in rows if row["state"] == "accepted"]
        place = f"{wanted.kind.name.lower()} {wanted.name} by {checkout.label}: {result.lines} {result.error}"
        with self._lock:
            found = self.outcomes
            found.codes[checkout.label, result.code] = found.codes.get((checkout.label, result.code), 0) + 1
            found.acknowledged += [
                Acknowledged(wanted.kind, wanted.name, wanted.value, row["epoch"], row["sequence"])
                for row in accepted
            ]
            if result.code not in (IN_FORCE, ACCEPTED) and not accepted:
                (found.unknown if result.code == UNKNOWN else found.rejected).append(place)
        return result.code

    def _publish_all(self, thread: int) -> None:
        number = 0
        while not self._ended.is_set():
            self.publish(request(thread, number), self._checkouts[(thread + number) % len(self._checkouts)])
            number += 1
