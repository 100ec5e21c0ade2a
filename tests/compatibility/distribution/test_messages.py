"""Messages between publishers, relays, followers and change clients have the same bytes as at commit 4d24a08.

`data/messages.json` has the bytes that the code of that commit wrote, and the message that each side of a
connection decoded from them. The tests compare arrays, so that fields can be renamed.
"""

from __future__ import annotations

import json
from pathlib import Path

import msgspec
import pytest
from msgspec import Raw, msgpack

from linenbridge.distribution import changes, messages
from linenbridge.distribution.changes import Change
from linenbridge.distribution.hosting import link_messages
from linenbridge.distribution.messages import Message

RECORD = json.loads((Path(__file__).parent / "data" / "messages.json").read_text(encoding="utf-8"))
ROWS = RECORD["messages"]
TAGS = {
    "prepare",
    "prepared",
    "fetch",
    "fetched",
    "append",
    "appended",
    "follow",
    "refused",
    "batch",
    "whole",
    "digests",
    "progress",
    "publish",
    "published",
}
DECODERS = {
    "relay": link_messages.RELAY_DECODER,
    "follower": link_messages.FOLLOWER_DECODER,
    "publisher": link_messages.PUBLISHER_DECODER,
    "publisher, of change clients": link_messages.CHANGE_REQUEST_DECODER,
    "change client": link_messages.CHANGE_CLIENT_DECODER,
}
VALUES = {
    "TenantValue": changes.TenantValue,
    "InstanceValue": changes.InstanceValue,
    "ZoneValue": changes.ZoneValue,
}
ENCODED_TWINS = {"batch": messages.EncodedBatch, "whole": messages.EncodedRangeSnapshot}


def as_array(value: object) -> list:
    """Return a value in the format of the record: an array, with bytes in base 64."""
    return json.loads(msgspec.json.encode(value))


def decode_or_none(decoder: msgpack.Decoder, encoded: bytes) -> list | None:
    try:
        return as_array(decoder.decode(encoded))
    except (msgspec.MsgspecError, ValueError):
        return None


def expected(row: dict) -> list | None:
    return None if row["read"] == "not taken" else row["read"]


def row_id(row: dict) -> str:
    return f"{row['tag']}, {row['case']}"


def test_the_record_covers_every_message_type():
    types = {cls.__struct_config__.tag for cls in Message.__args__}
    sent = [row for row in ROWS if row["case"] == "as sent"]
    assert types == TAGS == {row["tag"] for row in sent}
    assert len(ROWS) == 362
    assert len(sent) == 24


@pytest.mark.parametrize("row", ROWS, ids=row_id)
def test_bytes_are_decoded_or_rejected_as_by_the_base(row):
    found = decode_or_none(msgpack.Decoder(Message), bytes.fromhex(row["bytes"]))
    assert found == expected(row)


@pytest.mark.parametrize("row", ROWS, ids=row_id)
def test_each_side_of_a_connection_accepts_the_same_messages_as_at_the_base(row):
    encoded = bytes.fromhex(row["bytes"])
    found = {role: decode_or_none(decoder, encoded) for role, decoder in DECODERS.items()}
    accepted_by = [role for role, message in found.items() if message is not None]
    assert accepted_by == row["taken_by"]
    assert all(found[role] == expected(row) for role in accepted_by)


@pytest.mark.parametrize("row", [row for row in ROWS if row["case"] == "as sent"], ids=row_id)
def test_a_message_is_encoded_as_by_the_base(row):
    message = msgspec.json.decode(json.dumps(row["read"]), type=Message)
    assert msgpack.encode(message).hex() == row["bytes"]


@pytest.mark.parametrize("twin", RECORD["encoded_twins"], ids=lambda twin: twin["tag"])
def test_a_message_with_already_encoded_changes_has_the_same_bytes(twin):
    cls = ENCODED_TWINS[twin["tag"]]
    message = msgpack.decode(bytes.fromhex(twin["bytes"]), type=cls)
    raw = msgspec.structs.replace(message, changes=Raw(bytes.fromhex(RECORD["changes_encoded"])))
    assert msgpack.encode(raw).hex() == twin["bytes"]
    assert bytes(message.changes).hex() == RECORD["changes_encoded"]


@pytest.mark.parametrize("row", RECORD["changes"], ids=lambda row: row["bytes"][:24])
def test_a_change_has_the_bytes_checksum_digest_and_range_of_the_base(row):
    change = msgpack.decode(bytes.fromhex(row["bytes"]), type=Change)
    assert as_array(change) == row["array"]
    assert msgpack.encode(change).hex() == row["bytes"]
    assert changes.intact(change) == row["intact"]
    assert changes.digest_of(change) == row["digest"]
    assert changes.range_of(change.kind, change.name) == row["range"]


@pytest.mark.parametrize(
    "row", [row for row in RECORD["changes"] if row["intact"]], ids=lambda row: row["bytes"][:24]
)
def test_a_sealed_change_has_the_bytes_of_the_base(row):
    read = msgpack.decode(bytes.fromhex(row["bytes"]), type=Change)
    change = changes.sealed(read.region, read.version, read.kind, read.name, read.value)
    assert msgpack.encode(change).hex() == row["bytes"]


@pytest.mark.parametrize("row", RECORD["values"], ids=lambda row: row["kind"])
def test_a_value_has_the_bytes_of_the_base(row):
    value = msgpack.decode(bytes.fromhex(row["bytes"]), type=VALUES[row["kind"]])
    assert as_array(value) == row["array"]
    assert msgpack.encode(value).hex() == row["bytes"]


def test_checksums_of_batches_and_ranges_equal_those_of_the_base():
    encoded = bytes.fromhex(RECORD["changes_encoded"])
    upto = changes.Version(4, 10)
    found = {
        "batch": messages.batch_checksum("eu", 6, upto, encoded),
        "whole": messages.range_checksum("eu", upto, 1023, 2, True, encoded),
        "whole, not last": messages.range_checksum("eu", upto, 1023, 2, False, encoded),
    }
    assert found == RECORD["checksums"]
