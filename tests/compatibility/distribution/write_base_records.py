"""Write the records of the distribution's bytes and stores, with the code of commit 4d24a08.

The script ran once with that commit, which the records have as `commit`. To repeat it in a checkout of it:

    cd CHECKOUT && PYTHONPATH=. .venv/bin/python .../write_base_records.py FOLDER

The module names here are those of that commit; no test imports this file. Bytes are recorded in
hexadecimal digits, messages as the arrays sent on a connection, without the names of their fields.
"""

from __future__ import annotations

import hashlib
import json
import shutil
import subprocess
import sys
from pathlib import Path
from random import Random

import apsw
import msgspec
from msgspec import Raw, msgpack

from linenbridge.distribution import messages
from linenbridge.distribution.changes import (
    Change,
    InstanceValue,
    Kind,
    Position,
    TenantValue,
    Version,
    ZoneValue,
    digest_of,
    intact,
    range_of,
    sealed,
)
from linenbridge.distribution.decisions import Apply, Keep, ReplaceRange
from linenbridge.distribution.hosting import words
from linenbridge.distribution.replica import Replica
from linenbridge.distribution.store.log import RelayLog
from linenbridge.distribution.view.store import ViewStore, fingerprint, restored
from linenbridge.distribution.view.view import View
from linenbridge.routes.table import Request
from tests.distribution.view.helpers import METHODS, new_view

ROLES = {
    "relay": words.RELAY_TAKES,
    "follower": words.FOLLOWER_TAKES,
    "publisher": words.PUBLISHER_TAKES,
    "publisher, of change clients": words.PUBLISHER_TAKES_OF_AUTHORS,
    "change client": words.AUTHOR_TAKES,
}
ANY = msgpack.Decoder(messages.Message)
BIG = (1 << 63) - 1
BYTES = bytes(range(256))
UNKNOWN = [{"later": [1, None]}, "field", -1.5]
CHANGES = [
    sealed("eu", Version(3, 7), Kind.TENANT, "tenänt", msgpack.encode(TenantValue(0.25))),
    sealed("eu", Version(3, 8), Kind.ROUTES, "shop.example", b'route one { method "look" }'),
    sealed("eu", Version(BIG, BIG), Kind.ZONE, "z" * 256, BYTES),
    sealed("eu", Version(4, 9), Kind.INSTANCE, "shop/i-1", b""),
    sealed("eu", Version(4, 10), Kind.LOG, "eu-1/1f", b""),
]
SUMMARY = messages.Summary("eu", 400, 17, ["g-1", "g-ü"], ["g-2"], 3, [0, 1, 2, 397])
POSITIONS = [Position("eu", 3, 8), Position("us", 1, BIG)]

FULL = [
    messages.Prepare("eu", 3),
    messages.Prepared("eu", 3, "eu-1", Version(2, 9), 8, "older_epoch", BIG, True, 4),
    messages.Fetch("eu", 3, 9),
    messages.Fetched("eu", 3, "eu-1", CHANGES, True, 6),
    messages.Append("eu", 4, Version(2, 6), 5, CHANGES, 4),
    messages.Appended("eu", 4, "eu-1", 10, "gap", BIG),
    messages.Follow("g-ü", BIG, POSITIONS, 14_000, ["eu", "us"]),
    messages.Refused(7, "full", 2_500_000),
    messages.Batch(7, "eu", 6, Version(4, 10), CHANGES, (1 << 64) - 1, 3, (1 << 32) - 1, 12),
    messages.Whole(7, "eu", Version(4, 10), 1023, 2, True, True, CHANGES, 3, (1 << 32) - 1, 12),
    messages.Digests(7, "eu", Version(4, 10), 512, BYTES, True),
    messages.Progress("eu-1", 7, POSITIONS, [SUMMARY], 12),
    messages.Publish(BIG, "eu", Kind.TENANT, "tenänt", BYTES),
    messages.Published(BIG, "in_force", Version(4, 10), "unconfirmed", ["c", "g-7"], 9),
]
LEAST = [
    messages.Prepared("eu", 3, "eu-1", Version(0, 0), 0),
    messages.Fetched("eu", 3, "eu-1", [], False),
    messages.Append("eu", 4, Version(2, 6), 5, []),
    messages.Appended("eu", 4, "eu-1", 10),
    messages.Follow("g-1", 1, [], 0, []),
    messages.Batch(7, "eu", 6, Version(4, 6), []),
    messages.Whole(7, "eu", Version(4, 10), 0, 0, False, False, []),
    messages.Digests(7, "eu", Version(0, 0), 0, b"", False),
    messages.Progress("g-1", 0, [], []),
    messages.Published(1, "accepted", Version(4, 10)),
]


def as_array(message: object) -> list:
    """Return a message as JSON values, with bytes in base 64."""
    return json.loads(msgspec.json.encode(message))


def read_by(encoded: bytes) -> dict[str, object]:
    """Return the message that each side of a connection decodes from the bytes, or that it rejects them."""
    found: dict[str, object] = {}
    for role, decoder in {"any": ANY, **ROLES}.items():
        try:
            found[role] = as_array(decoder.decode(encoded))
        except (msgspec.MsgspecError, ValueError):
            found[role] = "not taken"
    return found


def record(case: str, tag: str, encoded: bytes) -> dict[str, object]:
    found = read_by(encoded)
    read = found.pop("any")
    assert all(one in ("not taken", read) for one in found.values())
    return {
        "case": case,
        "tag": tag,
        "bytes": encoded.hex(),
        "read": read,
        "taken_by": [role for role, one in found.items() if one != "not taken"],
    }


def cases(message: object) -> list[dict[str, object]]:
    """Return variants of a message.

    These are the message as it is, without its last fields (each number of them), with unknown fields at the
    end, and with each field of another type.
    """
    encoded = msgpack.encode(message)
    fields = msgpack.decode(encoded)
    tag = fields[0]
    found = [record("as sent", tag, encoded)]
    for count in range(1, len(fields)):
        found.append(record(f"{len(fields) - count} absent", tag, msgpack.encode(fields[:count])))
    found.append(record("unknown behind", tag, msgpack.encode(fields + UNKNOWN)))
    for place in range(1, len(fields)):
        wrong = [*fields[:place], {"another": "type"}, *fields[place + 1 :]]
        found.append(record(f"field {place} of another type", tag, msgpack.encode(wrong)))
    return found


def nested_cases() -> list[dict[str, object]]:
    """Return messages whose changes, versions, positions and summaries have absent or unknown fields."""
    append = msgpack.decode(msgpack.encode(FULL[4]))
    progress = msgpack.decode(msgpack.encode(FULL[11]))
    found = []
    for name, change in {
        "a change without its checksum": append[5][0][:-1],
        "a change without its value": append[5][0][:-2],
        "a change with unknown fields": append[5][0] + UNKNOWN,
    }.items():
        found.append(record(name, "append", msgpack.encode([*append[:5], [change], *append[6:]])))
    for name, version in {
        "a version without its sequence": append[3][:-1],
        "a version with unknown fields": append[3] + UNKNOWN,
    }.items():
        found.append(record(name, "append", msgpack.encode([*append[:3], version, *append[4:]])))
    for name, summary in {
        "a summary without its lag": progress[4][0][:-1],
        "a summary with unknown fields": progress[4][0] + UNKNOWN,
    }.items():
        found.append(record(name, "progress", msgpack.encode([*progress[:4], [summary], *progress[5:]])))
    for name, position in {
        "a position without its sequence": progress[3][0][:-1],
        "a position with unknown fields": progress[3][0] + UNKNOWN,
    }.items():
        found.append(record(name, "progress", msgpack.encode([*progress[:3], [position], *progress[4:]])))
    found.append(record("an unknown tag", "later", msgpack.encode(["later", 1])))
    found.append(record("no array", "prepare", msgpack.encode({"region": "eu", "epoch": 1})))
    found.append(record("cut bytes", "append", msgpack.encode(FULL[4])[:-1]))
    return found


def encoded_twins() -> list[dict[str, str]]:
    """Return messages with already encoded changes, which have the same bytes as the message itself."""
    raw = Raw(msgpack.encode(CHANGES))
    batch = messages.EncodedBatch(7, "eu", 6, Version(4, 10), raw, (1 << 64) - 1, 3, (1 << 32) - 1, 12)
    whole = messages.EncodedWhole(7, "eu", Version(4, 10), 1023, 2, True, True, raw, 3, (1 << 32) - 1, 12)
    return [
        {"tag": "batch", "bytes": msgpack.encode(batch).hex()},
        {"tag": "whole", "bytes": msgpack.encode(whole).hex()},
    ]


def change_rows() -> list[dict[str, object]]:
    return [
        {
            "array": as_array(change),
            "bytes": msgpack.encode(change).hex(),
            "intact": intact(change),
            "digest": digest_of(change),
            "range": range_of(change.kind, change.name),
        }
        for change in [*CHANGES, msgspec.structs.replace(CHANGES[0], epoch=9)]
    ]


def values() -> list[dict[str, object]]:
    """Return values of keys as change clients encode them."""
    found = [
        TenantValue(0.25),
        InstanceValue(12, "z1", "c1", 1, 1.5, 1_700_000_000_000, "127.0.0.1", 9000),
        ZoneValue(True),
    ]
    return [
        {"kind": type(one).__name__, "array": as_array(one), "bytes": msgpack.encode(one).hex()}
        for one in found
    ]


def checksums() -> dict[str, int]:
    encoded = msgpack.encode(CHANGES)
    return {
        "batch": messages.batch_checksum("eu", 6, Version(4, 10), encoded),
        "whole": messages.whole_checksum("eu", Version(4, 10), 1023, 2, True, encoded),
        "whole, not last": messages.whole_checksum("eu", Version(4, 10), 1023, 2, False, encoded),
    }


# ---- stores ----------------------------------------------------------------------------------------------


def tables_of(path: Path) -> dict[str, object]:
    """Return the schema version, the table definitions and all rows of a store."""
    connection = apsw.Connection(str(path))
    names = [
        row[0]
        for row in connection.execute("select name from sqlite_master where type = 'table' order by name")
    ]
    found = {
        "form": connection.pragma("user_version"),
        "tables": [
            list(row)
            for row in connection.execute(
                "select name, sql from sqlite_master where sql is not null order by name"
            )
        ],
        "rows": {
            name: [
                [value.hex() if isinstance(value, bytes) else value for value in row]
                for row in connection.execute(
                    f"select * from {name} order by 1, 2, 3, 4" if name != "state" else "select * from state"
                )
            ]
            for name in names
        },
    }
    connection.close()
    return found


def entries(first: int, last: int, epoch: int) -> list[Change]:
    return [
        sealed("eu", Version(epoch, number), Kind.TENANT, f"tenänt-{number % 5}", b"%d" % number)
        for number in range(first, last + 1)
    ]


KEEPS = [
    Keep(1, None, [], 0, 0, "", 77),
    Keep(2, None, entries(1, 12, 1), 1, 4, "p1", 77),
    Keep(3, 10, entries(11, 14, 2), 2, 6, "p2", 77, [1]),
    Keep(
        4,
        None,
        [sealed("eu", Version(2, 15), Kind.LOG, "eu-1/4d", b"")],
        2,
        15,
        "p2",
        77,
        [2, 3, 4, 5, 6, 7, 8, 9],
        1,
    ),
]
GOES_ON = [
    Keep(5, None, entries(16, 18, 3), 3, 15, "p1", 77, [], 1),
    Keep(6, 17, [], 3, 17, "p1", 77, [11, 12], 2),
]


def keep_row(keep: Keep) -> list:
    """Return the fields of a write in the order of `Keep`."""
    return json.loads(msgspec.json.encode(msgspec.structs.astuple(keep)))


def kept_row(kept: object) -> list:
    return json.loads(msgspec.json.encode(msgspec.structs.astuple(kept)))


def write_region_log(folder: Path) -> None:
    home = folder / "region_log"
    shutil.rmtree(home, ignore_errors=True)
    (home / "closed").mkdir(parents=True)
    (home / "killed").mkdir()
    store = RelayLog(str(home / "closed"), "eu")
    store.read()
    store.keep(KEEPS[:2])
    store.keep(KEEPS[2:])
    for ending in ("", "-wal"):
        shutil.copy(home / "closed" / f"log.db{ending}", home / "killed" / f"log.db{ending}")
    store.close()
    work = folder / "work"
    shutil.rmtree(work, ignore_errors=True)
    shutil.copytree(home / "closed", work)
    store = RelayLog(str(work), "eu")
    kept = store.read()
    replica = Replica("eu", "eu-1", kept, True, Random(1))
    handed_on = replica.next_decision(0)
    store.keep(GOES_ON)
    store.close()
    after = RelayLog(str(work), "eu")
    kept_after = after.read()
    after.close()
    found = {
        "commit": commit(),
        "region": "eu",
        "keeps": [keep_row(keep) for keep in KEEPS],
        "kept": kept_row(kept),
        "life": replica.life,
        "member": replica.member,
        "handed_on": as_array(handed_on.changes),
        "content": tables_of(home / "closed" / "log.db"),
        "goes_on": [keep_row(keep) for keep in GOES_ON],
        "kept_after": kept_row(kept_after),
        "content_after": tables_of(work / "log.db"),
    }
    shutil.rmtree(work)
    write(home / "expected.json", found)


def pack(value: object) -> bytes:
    return msgpack.encode(value)


def instance(number: int, build: int, zone: str) -> bytes:
    return pack(
        InstanceValue(
            build,
            zone,
            f"c{number % 2}",
            1 + number % 2,
            1.0 + number,
            1_700_000_000_000,
            "127.0.0.1",
            9000 + number,
        )
    )


def view_batches() -> list[Apply | ReplaceRange]:
    def change(sequence: int, kind: int, name: str, value: bytes, region: str = "eu") -> Change:
        return sealed(region, Version(1, sequence), kind, name, value)

    routes = 'route one {{ when path starts "{}" method "{}" }}'
    changes = [
        change(1, Kind.ROUTES, "shop", routes.format("/a", "look").encode()),
        change(2, Kind.ROUTES, "gone", routes.format("/b", "look").encode()),
        change(3, Kind.TENANT, "t1", pack(TenantValue(0.5))),
        change(4, Kind.TENANT, "bad", b"\xc1"),
        change(5, Kind.ZONE, "z2", pack(ZoneValue(True))),
    ]
    changes += [change(6 + n, Kind.INSTANCE, f"shop/i-{n}", instance(n, 3, f"z{n % 3}")) for n in range(12)]
    changes += [change(18 + n, Kind.INSTANCE, f"s{n}/i", instance(n, 4, "z1")) for n in range(6)]
    later = [
        change(30, Kind.ROUTES, "gone", b""),
        change(31, Kind.ROUTES, "shop", b"route {"),
        change(32, Kind.INSTANCE, "shop/i-3", b""),
        change(33, Kind.INSTANCE, "shop/i-4", instance(4, 5, "z0")),
    ]
    other = [
        change(1, Kind.TENANT, "t2", pack(TenantValue(0.125)), "us"),
        change(2, Kind.INSTANCE, "shop/us-1", instance(20, 3, "z9"), "us"),
    ]
    number = range_of(Kind.INSTANCE, "s5/i")
    return [
        Apply("eu", Version(1, 23), changes),
        Apply("eu", Version(1, 33), later),
        Apply("us", Version(1, 2), other),
        ReplaceRange(
            "eu", Version(1, 33), number, [change(35, Kind.INSTANCE, "s5/i", instance(5, 9, "z1"))], False
        ),
    ]


def view_goes_on() -> list[Apply | ReplaceRange]:
    changes = [
        sealed("eu", Version(2, 40), Kind.TENANT, "t1", pack(TenantValue(0.75))),
        sealed("eu", Version(2, 41), Kind.TENANT, "bad", pack(TenantValue(0.0625))),
        sealed("eu", Version(2, 42), Kind.ZONE, "z2", pack(ZoneValue(False))),
        sealed("eu", Version(2, 43), Kind.INSTANCE, "s0/i", b""),
        sealed("eu", Version(2, 44), Kind.INSTANCE, "new/i", instance(7, 9, "z1")),
    ]
    return [Apply("eu", Version(2, 44), changes)]


def batch_row(one: Apply | ReplaceRange) -> list:
    return [type(one).__name__, *json.loads(msgspec.json.encode(msgspec.structs.astuple(one)))]


SERVICES = ("shop", *(f"s{n}" for n in range(6)), "new", "none")
PATHS = ("/a", "/a/b", "/b")


def content_of(view: View) -> dict[str, object]:
    """Return the results of all look-ups of a view, without the names of fields."""
    return {
        "positions": as_array(view.positions()),
        "digests": {region: view.digest(region) for region in ("eu", "us")},
        "range_digests": {
            region: hashlib.sha256(view.range_digests(region)).hexdigest() for region in ("eu", "us")
        },
        "refused": sorted([r.region, *as_array(r.version), r.kind, r.name, r.reason] for r in view.refused()),
        "tenants": {name: view.tenant(name) for name in ("t1", "t2", "bad", "none")},
        "instances": {
            service: sorted([list(one.entry), list(one.address)] for one in view.listed(service))
            for service in SERVICES
        },
        "services": sorted(view.services()),
        "routes": {
            authority: [
                None if (rule := table.find(Request(authority, path))) is None else rule.method
                for path in PATHS
            ]
            if (table := view.routes(authority)) is not None
            else None
            for authority in ("shop", "gone", "none")
        },
    }


def write_view(folder: Path) -> None:
    home = folder / "view"
    shutil.rmtree(home, ignore_errors=True)
    home.mkdir(parents=True)
    mark = fingerprint(method.name for method in METHODS)
    events: list[object] = []
    store = ViewStore(str(home / "view.db"), mark, lambda name, **fields: events.append((name, fields)))
    view = restored(store, new_view)
    for one in view_batches():
        carry_out(view, one)
        assert store.write(view.dirty())
    store.close()
    work = folder / "work.db"
    shutil.copy(home / "view.db", work)
    store = ViewStore(str(work), mark, lambda name, **fields: events.append((name, fields)))
    again = restored(store, new_view)
    before = content_of(again)
    assert before == content_of(view)
    for one in view_goes_on():
        carry_out(again, one)
        assert store.write(again.dirty())
    store.close()
    assert events == []
    found = {
        "commit": commit(),
        "fingerprint": mark,
        "methods": sorted(method.name for method in METHODS),
        "batches": [batch_row(one) for one in view_batches()],
        "content": before,
        "tables": tables_of(home / "view.db"),
        "goes_on": [batch_row(one) for one in view_goes_on()],
        "content_after": content_of(again),
        "tables_after": tables_of(work),
    }
    for ending in ("", "-wal", "-shm"):
        Path(f"{work}{ending}").unlink(missing_ok=True)
    write(home / "expected.json", found)


def carry_out(view: View, one: Apply | ReplaceRange) -> None:
    if isinstance(one, Apply):
        view.apply(one)
    else:
        view.replace(one)


# ---- files -----------------------------------------------------------------------------------------------


def commit() -> str:
    return subprocess.run(
        ["git", "rev-parse", "HEAD"], check=True, capture_output=True, text=True
    ).stdout.strip()


def write(path: Path, found: object) -> None:
    path.write_text(json.dumps(found, indent=1, ensure_ascii=False, sort_keys=True) + "\n", encoding="utf-8")


def main() -> None:
    folder = Path(sys.argv[1])
    folder.mkdir(parents=True, exist_ok=True)
    write(
        folder / "messages.json",
        {
            "commit": commit(),
            "messages": [row for message in (*FULL, *LEAST) for row in cases(message)] + nested_cases(),
            "encoded_twins": encoded_twins(),
            "changes": change_rows(),
            "values": values(),
            "checksums": checksums(),
            "changes_encoded": msgpack.encode(CHANGES).hex(),
        },
    )
    write_region_log(folder)
    write_view(folder)


main()
