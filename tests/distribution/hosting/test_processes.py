"""Relays, publishers, gateways and `publish` commands as processes on loopback.

The processes are started, killed and paused, and receive malformed input.
"""

from __future__ import annotations

import json
import os
import signal
import socket
import struct
import time
from collections.abc import Iterator

import pytest

from linenbridge.distribution.storage.log_store import RelayLog
from tests.distribution.hosting.installation import ROUTES, Installation

# After a publisher is lost: the end of its lease, clock drift, heartbeats of the waiting candidates, log
# recovery, and delays of the machine.
MAX_REPLACEMENT_SECONDS = 8.0
MAX_FAILOVER_SECONDS = 4.0  # after a relay is lost; docs/distribution.md
MAX_IN_FORCE_SECONDS = 4.0
INSTANCE = {
    "build": 3,
    "zone": "a",
    "cell": "c1",
    "state": 1,
    "size": 4.0,
    "started": 1,
    "host": "127.0.0.1",
    "port": 9,
}


@pytest.fixture(scope="module")
def shared(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Installation]:
    """One installation for the tests that restore it afterwards: starting it takes most of a test's time."""
    installation = Installation(tmp_path_factory.mktemp("installation"), other_relays=("us-1",))
    try:
        yield installation
    finally:
        installation.close()


@pytest.fixture
def installation(shared: Installation) -> Installation:
    """The shared installation with all processes running, a publisher, and a change that reached all."""
    restore_all(shared)
    return shared


def restore_all(installation: Installation) -> None:
    """Start missing processes, resume paused ones, and wait until a change reaches all of them."""
    missing = [name for name in installation.process_names() if name not in installation.running]
    is_first_start = len(missing) == len(installation.process_names())
    complete = not missing and not installation.paused
    for name in list(installation.paused):
        installation.resume(name)
    # Gateways start last: one that starts before its region's relay listens follows a relay of another region
    # for a while.
    for names in (
        [name for name in missing if name not in installation.gateways],
        [name for name in missing if name in installation.gateways],
    ):
        installation.start(*names)
        installation.wait_until_started(*names)
    installation.wait_until(lambda: installation.publisher() != "", "a publisher")
    if not (complete or is_first_start):
        installation.wait_until(lambda: publish_reaches_all(installation), "a change to reach all processes")


def publish_reaches_all(installation: Installation) -> bool:
    return installation.publish("whole", ROUTES.format(soft=1)).code == 0


def publish(installation: Installation, name: str, soft: int) -> int:
    """Publish a change that is accepted and comes into force; return its sequence."""
    result = installation.publish(name, ROUTES.format(soft=soft), "--json")
    rows = [json.loads(line) for line in result.lines]
    assert result.code == 0, result
    assert [row["state"] for row in rows] == ["accepted", "in_force"]
    return rows[0]["version"]["sequence"]


def wait_until_in_force_everywhere(installation: Installation, sequence: int) -> float:
    """Wait until all gateways have logged that `sequence` is in force; return the seconds elapsed."""
    return installation.wait_until(
        lambda: all(installation.in_force(gateway) >= sequence for gateway in installation.gateways),
        f"sequence {sequence} everywhere",
    )


def test_each_kind_of_change_is_acknowledged_and_in_force_at_all_gateways(installation):
    result = installation.publish("shop", ROUTES.format(soft=300))
    assert result.code == 0, result
    assert [line.split()[0] for line in result.lines] == ["accepted", "in"], result
    assert installation.publish("acme", '{"share": 0.25}', kind="tenant").code == 0
    assert installation.publish("shop/1", json.dumps(INSTANCE), kind="instance").code == 0
    assert installation.publish("a", '{"lost": true}', kind="zone").code == 0
    assert installation.publish("acme", "", "--delete", kind="tenant").code == 0
    versions = {gateway: installation.in_force(gateway) for gateway in installation.gateways}
    assert len(set(versions.values())) == 1, versions
    assert min(versions.values()) >= 5, versions


def test_a_change_reaches_the_gateways_of_another_region(installation):
    sequence = publish(installation, "shop", 100)
    assert wait_until_in_force_everywhere(installation, sequence) < MAX_IN_FORCE_SECONDS
    assert installation.followed_relay("g-us") == "us-1"


@pytest.mark.parametrize(
    ("kind", "value", "expected_error"),
    [
        ("routes", 'route a { when always method "fly" }', "1:30: no method is named"),
        ("tenant", '{"share": 2.0}', "a share is 0 to 1"),
        ("tenant", '{"part": 0.1}', "the field share is missing; add it"),
        ("tenant", '{"share": 0.1, "more": 1}', "unknown fields more; remove them"),
        ("zone", "no JSON", "correct the value"),
        ("planet", "{}", "unknown kind planet; set --kind to one of routes"),
    ],
)
def test_the_publish_command_rejects_an_invalid_value_before_it_is_sent(
    tmp_path, kind, value, expected_error
):
    """No process of the installation is running."""
    result = Installation(tmp_path).publish("shop", value, kind=kind)
    assert result.code == 2, result
    assert expected_error in result.error, result


def test_the_publish_command_exits_with_2_when_no_publisher_answers(tmp_path):
    result = Installation(tmp_path).publish("shop", ROUTES.format(soft=1), "--accepted-within", "0.5")
    assert result.code == 2, result
    assert "no publisher of eu took it; ask another candidate" in result.lines[-1], result


def test_a_publisher_paused_and_replaced_commits_nothing_under_its_old_epoch(installation):
    first = publish(installation, "shop", 100)
    old = installation.publisher()
    new = next(name for name in installation.publishers if name != old)
    installation.pause(old)
    waiting = installation.begin_publish("shop", ROUTES.format(soft=200), "--json")
    elapsed = installation.wait_until(
        lambda: installation.is_publishing(new), f"{new} to publish", MAX_REPLACEMENT_SECONDS
    )
    result = installation.publish_result(waiting)
    rows = [json.loads(line) for line in result.lines]
    assert result.code == 0, result
    assert [row["state"] for row in rows] == ["accepted", "in_force"], result
    epoch = rows[0]["version"]["epoch"]
    installation.resume(old)
    installation.wait_until(
        lambda: not installation.is_publishing(old), f"{old} to log that it has stopped", 5.0
    )
    last = publish(installation, "shop", 300)
    assert last > rows[0]["version"]["sequence"] > first
    wait_until_in_force_everywhere(installation, last)
    for gateway in installation.gateways:
        epochs = [row["epoch"] for row in installation.events(gateway, "distribution.in_force")]
        assert epochs == sorted(epochs)
        assert epochs[-1] == epoch
    for relay in installation.relays:
        promised = [row["epoch"] for row in installation.events(relay, "distribution.promised")]
        assert promised == sorted(set(promised)), "a relay promised an older epoch after a newer one"
    print(f"\na paused publisher: replaced after {elapsed:.2f} s, bound {MAX_REPLACEMENT_SECONDS:.0f} s")


@pytest.mark.parametrize("how", ["killed", "paused"])
def test_gateways_of_a_lost_relay_follow_another_and_the_relay_rejoins(installation, how):
    publish(installation, "shop", 100)
    relay = installation.followed_relay("g-1")
    if how == "killed":
        installation.kill(relay)
    else:
        installation.pause(relay)
    elapsed = installation.wait_until(
        lambda: installation.followed_relay("g-1") not in ("", relay),
        "g-1 to follow another relay",
        MAX_FAILOVER_SECONDS,
    )
    sequence = publish_with_one_unreached(installation, "shop", 200, unreached=relay)
    assert wait_until_in_force_everywhere(installation, sequence) < MAX_IN_FORCE_SECONDS
    if how == "killed":
        installation.start(relay)
        installation.wait_until_started(relay)
        installation.wait_until(lambda: installation.has_joined(relay), f"{relay} to join again")
    else:
        installation.resume(relay)
    restore_all(installation)
    print(f"\na {how} relay: another one followed after {elapsed:.2f} s, bound {MAX_FAILOVER_SECONDS:.0f} s")


def publish_with_one_unreached(installation: Installation, name: str, soft: int, unreached: str) -> int:
    """Publish a change that comes into force everywhere except at `unreached`; return its sequence."""
    result = installation.publish(name, ROUTES.format(soft=soft), "--json")
    rows = [json.loads(line) for line in result.lines]
    assert result.code == 1, result
    assert rows[-1]["state"] == "in_force", result
    assert unreached in rows[-1]["unreached"]
    return rows[-1]["version"]["sequence"]


@pytest.mark.parametrize("store", ["kept", "emptied"])
def test_a_restarted_gateway_catches_up_with_all_changes_in_force(installation, store):
    for number in range(1, 4):
        publish(installation, f"shop-{number}", 100 + number)
    time.sleep(1.5)  # the gateway writes the view's changed pages within a second
    installation.kill("g-2")
    if store == "emptied":
        for file in installation.folder.glob("g-2.db*"):
            file.unlink()
    last = publish_with_one_unreached(installation, "shop-1", 300, unreached="g-2")
    installation.start("g-2")
    installation.wait_until_started("g-2")
    (restored,) = installation.events("g-2", "distribution.restored")
    assert bool(restored["positions"]) == (store == "kept")
    installation.wait_until(lambda: installation.in_force("g-2") >= last, "g-2 to catch up")
    applied = sum(row["changes"] for row in installation.events("g-2", "distribution.in_force"))
    assert applied == 1 if store == "kept" else applied >= 4, (
        "a gateway with a store receives only the changes that it missed"
    )


@pytest.mark.parametrize("role", ["relay", "publisher"])
def test_malformed_input_closes_only_the_connection_that_sent_it(installation, role):
    publish(installation, "shop", 100)
    port = installation.ports["eu-1" if role == "relay" else installation.publisher()]
    malformed = [
        b"GET / HTTP/1.1\r\n\r\n" * 50,
        os.urandom(4_000),
        amp_box(name=b"\xff\xfe"),
        amp_box(name=b"x y"),
    ]
    malformed += [
        amp_box(name=b"g-9") + amp_message(message) for message in (b"", b"\x93\xa6follow", os.urandom(900))
    ]
    for data in malformed:
        with socket.create_connection(("127.0.0.1", port), 5) as connection:
            connection.settimeout(8)
            connection.sendall(data)
            assert is_closed_by_peer(connection), f"{data[:20]!r} did not close its connection"
    assert publish(installation, "shop", 200)
    assert not [row for name in installation.running for row in installation.events(name, "failed")]


def amp_box(**values: bytes) -> bytes:
    """Return the command with the peer's name, as AMP encodes it."""
    return _box({b"_command": b"Meet", **{key.encode(): value for key, value in values.items()}})


def amp_message(message: bytes) -> bytes:
    return _box({b"_command": b"Say", b"word": message})


def _box(pairs: dict[bytes, bytes]) -> bytes:
    rows = [struct.pack(">H", len(part)) + part for pair in pairs.items() for part in pair]
    return b"".join(rows) + b"\0\0"


def is_closed_by_peer(connection: socket.socket) -> bool:
    """Return whether the far end closes the connection within the socket's time-out."""
    try:
        while connection.recv(4096):
            pass
    except ConnectionResetError:
        return True
    except TimeoutError:
        return False
    return True


def test_a_paused_gateway_delays_no_other_process_and_catches_up(installation):
    publish(installation, "shop", 100)
    installation.pause("g-2")
    result = installation.publish("shop", ROUTES.format(soft=200), "--json")
    rows = [json.loads(line) for line in result.lines]
    assert rows[0]["state"] == "accepted"
    assert installation.in_force("g-1") >= rows[0]["version"]["sequence"]
    if rows[-1]["state"] == "in_force":
        assert result.code == 1, result
        assert "g-2" in rows[-1]["unreached"], result
    installation.resume("g-2")
    sequence = publish(installation, "shop", 300)
    assert wait_until_in_force_everywhere(installation, sequence) < MAX_IN_FORCE_SECONDS


def test_without_a_majority_of_relays_the_outcome_of_a_change_is_unknown(installation):
    """Runs after the other tests of the shared installation.

    The two killed relays would restart with incarnations that no publisher has counted yet.
    """
    publish(installation, "shop", 100)
    for relay in installation.relays[:2]:
        installation.kill(relay)
    result = installation.publish("shop", ROUTES.format(soft=200), "--accepted-within", "2")
    assert result.code == 3, result
    assert "it may be accepted later; bring back relays" in result.lines[-1], result


def test_the_relays_logs_agree_at_the_end_and_epochs_never_decrease(installation):
    """Ends the shared installation, so it runs after all tests that use it."""
    installation.close()
    logs = [RelayLog(str(installation.folder / relay), "eu").read() for relay in installation.relays]
    committed = min(stored.committed for stored in logs)
    newest = []
    for stored in logs:
        versions = [change.version for change in stored.changes]
        assert versions == sorted(versions)
        assert len({v.sequence for v in versions}) == len(versions)
        newest.append({change.key: change for change in stored.changes if change.sequence <= committed})
    superseded = {change.key for stored in logs for change in stored.changes if change.sequence > committed}
    for key in set().union(*newest) - superseded:
        assert len({newest_by_key.get(key) for newest_by_key in newest}) == 1, f"the relays differ at {key}"
    assert max(change.epoch for change in logs[0].changes) > 1


def test_a_sighup_logs_that_settings_take_effect_at_the_next_start(tmp_path):
    installation = Installation(tmp_path)
    try:
        installation.start("eu-1")
        installation.wait_until_started("eu-1")
        os.kill(installation.running["eu-1"].pid, signal.SIGHUP)
        installation.wait_until(
            lambda: bool(installation.events("eu-1", "distribution.not_reloaded")),
            "eu-1 to log distribution.not_reloaded",
        )
        installation.running["eu-1"].terminate()
        installation.running["eu-1"].join(10)
        assert installation.running["eu-1"].exitcode == 0
        assert installation.events("eu-1", "stopped")
    finally:
        installation.close()


def test_a_relay_without_its_store_folder_exits_with_2(tmp_path):
    installation = Installation(tmp_path)
    (tmp_path / "eu-1").rmdir()
    installation.start("eu-1")
    process = installation.running["eu-1"]
    try:
        process.join(60)
        assert process.exitcode == 2
        assert "does not exist" in (tmp_path / "eu-1.log").read_text()
    finally:
        installation.close()
