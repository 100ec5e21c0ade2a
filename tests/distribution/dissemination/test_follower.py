"""One follower with relays played by hand: order, back-off, the second link, going back, acceptance."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from random import Random

import msgspec
import pytest

from linenbridge.distribution.changes import Kind, Position, Version, range_of, sealed
from linenbridge.distribution.decisions import Apply, Dial, Event, Disconnect, ReplaceRange, Send
from linenbridge.distribution.dissemination.follower import Follower, FollowerSettings
from linenbridge.distribution.messages import (
    Batch, Digests, Follow, Progress, FollowRejected, RangeSnapshot, batch_checksum, range_checksum,
)  # fmt: skip
from linenbridge.distribution.dissemination.relay_selection import RelayOrder, RelayPlace, ranked

SECOND = 1_000_000
NEAR = [RelayPlace(f"near{n}", "r1") for n in range(4)]
FAR = [RelayPlace(f"far{n}", "r2") for n in range(2)]
SETTINGS = FollowerSettings()
_encode = msgspec.msgpack.Encoder().encode


class Gateway:
    """A follower, and what it decided."""

    def __init__(
        self, positions: list[Position] | None = None, settings: FollowerSettings = SETTINGS
    ) -> None:
        self.now = 0
        self.core = Follower(
            "gateway", "r1", NEAR + FAR, ["r1"], positions or [], settings, Random(3), 0, lambda region: b"d"
        )
        self.order = ranked("gateway", "r1", NEAR + FAR)
        self.dialled: list[str] = []
        self.hung_up: list[str] = []
        self.sent: list[Send] = []
        self.applied: list[Apply | ReplaceRange] = []
        self.events: list[Event] = []
        self.number = 0
        self.dead: set[str] = set()

    def run(self, seconds: float) -> None:
        end = self.now + int(seconds * SECOND)
        while self.core.wake_at() <= end:
            self.now = max(self.now + 1, self.core.wake_at())
            self.pull()
        self.now = max(self.now, end)

    def pull(self) -> None:
        while (decision := self.core.next_decision(self.now)) is not None:
            if isinstance(decision, Dial):
                self.dialled.append(decision.relay)
                if decision.relay not in self.dead:
                    self.core.on_link(self.now, decision.relay, True)
            elif isinstance(decision, Disconnect):
                self.hung_up.append(decision.relay)
            elif isinstance(decision, Send):
                self.sent.append(decision)
                self.number = 0 if isinstance(decision.message, Follow) else self.number
            elif isinstance(decision, Event):
                self.events.append(decision)
            else:
                self.applied.append(decision)

    def last(self, kind: type) -> Send:
        return next(send for send in reversed(self.sent) if isinstance(send.message, kind))

    @property
    def session(self) -> int:
        return self.last(Follow).message.session

    def batch(self, after: int, upto: int, names: str = "", **fields) -> Batch:
        """The relay's next message: a change for each letter of `names`, the last ones before `upto`."""
        self.number += 1
        changes = [
            sealed("r1", Version(1, upto - len(names) + 1 + place), Kind.TENANT, name, b"v")
            for place, name in enumerate(names)
        ]
        end = Version(1 if upto else 0, upto)
        checksum = batch_checksum("r1", after, end, _encode(changes))
        batch = Batch(self.session, "r1", after, end, changes, None, 0, checksum, self.number)
        return msgspec.structs.replace(batch, **fields)

    def whole(self, upto: int, index: int, names: str, **fields) -> RangeSnapshot:
        self.number += 1
        changes = [sealed("r1", Version(1, 1), Kind.TENANT, name, b"w") for name in names.split()]
        whole = RangeSnapshot(
            self.session, "r1", Version(1, upto), index, 0, True, True, changes, 0, 0, self.number
        )
        return self.summed(msgspec.structs.replace(whole, **fields))

    def summed(self, whole: RangeSnapshot) -> RangeSnapshot:
        encoded = _encode(whole.changes)
        checksum = range_checksum("r1", whole.upto, whole.range_index, whole.part, whole.last, encoded)
        return msgspec.structs.replace(whole, checksum=checksum)

    def take(self, message: Batch | RangeSnapshot, relay: str = "") -> None:
        handle = self.core.on_batch if isinstance(message, Batch) else self.core.on_whole
        handle(self.now, relay or self.core.relay, message)
        self.pull()

    def answer(self, digest: int | None = 0) -> None:
        last = self.applied[-1]
        self.core.on_applied(self.now, "r1", last.upto, digest)
        self.pull()

    def progress(self) -> Progress:
        """The last word to the relay that is followed."""
        said = [send.message for send in self.sent if isinstance(send.message, Progress)]
        return [progress for progress in said if progress.session][-1]

    def following(self) -> Gateway:
        self.run(1)
        at = sum(position.sequence for position in self.last(Follow).message.positions)
        self.take(self.batch(at, at))
        assert self.core.following
        return self


def test_the_order_spreads_followers_evenly_and_those_of_a_lost_relay_over_all_others():
    first = Counter(ranked(f"g{n}", "r1", NEAR + FAR)[0] for n in range(4_000))
    assert set(first) == {relay.name for relay in NEAR}
    assert all(850 < count < 1_150 for count in first.values())
    second = Counter(
        order[1] for order in (ranked(f"g{n}", "r1", NEAR + FAR) for n in range(4_000)) if order[0] == "near0"
    )
    assert all(250 < count < 420 for count in second.values())
    assert [name[:3] for name in ranked("g", "r1", NEAR + FAR)] == ["nea"] * 4 + ["far"] * 2


def test_back_off_doubles_and_is_bounded_and_forgotten_after_service():
    order = RelayOrder("g", "r1", NEAR[:1], Random(1))
    waits = []
    for _ in range(10):
        order.failed(0, "near0")
        waits.append(order.next_usable_at())
    assert 500_000 <= waits[0] < 750_000
    assert all(4 * SECOND <= wait < 6 * SECOND for wait in waits[3:])
    order.served("near0")
    assert order.usable(0) == ["near0"]
    order.failed(0, "near0", at_least=99 * SECOND)
    assert order.next_usable_at() == 99 * SECOND


def test_it_follows_the_first_relay_and_keeps_a_link_to_the_second():
    gateway = Gateway([Position("r1", 1, 5)]).following()
    gateway.run(1)
    assert gateway.core.relay == gateway.order[0]
    assert gateway.order[1] in gateway.dialled
    follow = gateway.last(Follow).message
    assert (follow.positions, follow.rate, follow.regions) == ([Position("r1", 1, 5)], 14_000, ["r1"])


def test_a_lost_relay_is_made_good_at_the_second_within_its_jitter():
    gateway = Gateway().following()
    gateway.run(2)
    lost, began = gateway.core.relay, gateway.now
    gateway.core.on_link(gateway.now, lost, False)
    gateway.run(0.5)
    assert gateway.core.relay == gateway.order[1]
    assert gateway.last(Follow).to == gateway.order[1]
    assert gateway.now - began <= SECOND
    assert gateway.core.counters.lost == 1


def test_a_silent_relay_is_left_and_told_so_later():
    gateway = Gateway().following()
    silent = gateway.core.relay
    gateway.run(3)
    assert gateway.core.relay == gateway.order[1]
    assert gateway.core.counters.silences == 1
    assert silent in gateway.hung_up
    gateway.take(gateway.batch(0, 0))
    gateway.run(2)
    assert Send(silent, Progress("gateway", 0, [], [])) in gateway.sent


def test_all_relays_are_tried_those_of_other_regions_last():
    gateway = Gateway()
    gateway.dead = {relay.name for relay in NEAR + FAR}
    gateway.run(12)
    first = list(dict.fromkeys(gateway.dialled))
    assert first == gateway.order
    gateway.run(60)
    assert 12 <= len(gateway.dialled) <= 60, "each is tried again, with back-off"


def test_a_full_relay_is_left_alone_for_as_long_as_it_says():
    gateway = Gateway()
    gateway.run(1)
    full = gateway.core.relay
    gateway.core.on_refused(gateway.now, full, FollowRejected(gateway.session, "full", 50 * SECOND))
    gateway.run(1)
    assert gateway.core.relay == gateway.order[1]
    gateway.take(gateway.batch(0, 0))
    for _ in range(40):
        gateway.run(1)
        gateway.take(gateway.batch(0, 0))
    assert gateway.dialled.count(full) <= 2, "to follow it, and to say that another one is followed"


def test_it_goes_back_to_a_better_relay_after_a_while():
    gateway = Gateway().following()
    best = gateway.core.relay
    gateway.core.on_link(gateway.now, best, False)
    gateway.run(1)
    assert gateway.core.relay != best
    left = 0
    while gateway.core.relay != best and left < 90:
        gateway.take(gateway.batch(0, 0))
        gateway.run(1)
        left += 1
    assert 20 <= left <= 45


def test_batches_are_taken_in_order_and_acknowledged_once_applied():
    gateway = Gateway().following()
    gateway.take(gateway.batch(0, 2, "ab"))
    gateway.run(0.3)
    assert gateway.progress().received == 1
    gateway.answer()
    gateway.run(0.3)
    progress = gateway.progress()
    assert (progress.received, progress.positions) == (2, [Position("r1", 1, 2)])
    assert [change.name for change in gateway.applied[0].changes] == ["a", "b"]


def test_a_gap_is_followed_anew_from_the_position_and_several_leave_the_relay():
    gateway = Gateway().following()
    gateway.take(gateway.batch(0, 2, "ab"))
    session, relay = gateway.session, gateway.core.relay
    gateway.take(gateway.batch(5, 6, "c"))
    assert gateway.session != session
    assert gateway.last(Follow).message.positions == [Position("r1", 1, 2)]
    assert len(gateway.applied) == 1
    for _ in range(3):
        gateway.take(gateway.batch(5, 6, "c"))
    gateway.run(0.5)
    assert gateway.core.relay != relay
    assert gateway.core.counters.gaps == 4


def test_repeated_older_and_foreign_messages_are_passed_over():
    gateway = Gateway().following()
    first = gateway.batch(0, 2, "ab")
    gateway.take(first)
    gateway.take(first)
    gateway.take(gateway.batch(0, 2, "ab"))
    gateway.take(msgspec.structs.replace(gateway.batch(2, 3, "c"), session=1))
    gateway.take(gateway.batch(2, 3, "c"), relay=gateway.order[3])
    assert len(gateway.applied) == 1
    assert gateway.core.counters.passed_over == 4


def spoilt_value(batch: Batch) -> Batch:
    change = msgspec.structs.replace(batch.changes[0], value=b"other")
    changes = [change, *batch.changes[1:]]
    checksum = batch_checksum("r1", batch.after, batch.upto, _encode(changes))
    return msgspec.structs.replace(batch, changes=changes, checksum=checksum)


def reordered(batch: Batch) -> Batch:
    changes = batch.changes[::-1]
    checksum = batch_checksum("r1", batch.after, batch.upto, _encode(changes))
    return msgspec.structs.replace(batch, changes=changes, checksum=checksum)


def beyond_its_end(batch: Batch) -> Batch:
    upto = Version(1, 1)
    checksum = batch_checksum("r1", batch.after, upto, _encode(batch.changes))
    return msgspec.structs.replace(batch, upto=upto, checksum=checksum)


def cut(batch: Batch) -> Batch:
    return msgspec.structs.replace(batch, changes=batch.changes[:1])


def of_another_region(batch: Batch) -> Batch:
    changes = [sealed("r2", change.version, change.kind, change.name, b"v") for change in batch.changes]
    checksum = batch_checksum("r1", batch.after, batch.upto, _encode(changes))
    return msgspec.structs.replace(batch, changes=changes, checksum=checksum)


@pytest.mark.parametrize("spoil", [spoilt_value, reordered, beyond_its_end, cut, of_another_region])
def test_a_spoilt_batch_is_not_taken_and_its_relay_is_left_counted_and_named(spoil):
    gateway = Gateway().following()
    relay = gateway.core.relay
    gateway.take(spoil(gateway.batch(0, 2, "ab")))
    assert gateway.applied == []
    assert gateway.core.counters.spoilt == 1
    spoilt = next(event for event in gateway.events if event.name == "distribution.spoilt")
    assert spoilt.fields["relay"] == relay
    gateway.run(1)
    assert gateway.core.relay != relay


def test_behind_the_horizon_it_asks_for_ranges_and_is_at_their_end_with_the_final_one():
    gateway = Gateway([Position("r1", 1, 3)]).following()
    gateway.take(gateway.batch(3, 3, horizon=9))
    asked = gateway.last(Digests)
    assert (asked.message.at, asked.message.digests) == (Version(1, 3), b"d")
    index = range_of(Kind.TENANT, "a")
    gateway.take(gateway.whole(9, index, "a"))
    replaced = gateway.applied[-1]
    assert (replaced.range_index, replaced.final, replaced.upto) == (index, True, Version(1, 9))
    gateway.answer()
    assert gateway.core.positions() == [Position("r1", 1, 9)]
    gateway.take(gateway.batch(9, 10, "b"))
    assert gateway.applied[-1].upto == Version(1, 10)


def test_parts_of_a_range_are_put_together_and_a_missing_part_is_a_gap():
    gateway = Gateway([Position("r1", 1, 3)]).following()
    gateway.take(gateway.batch(3, 3, horizon=9))
    index = range_of(Kind.TENANT, "a")
    gateway.take(gateway.whole(9, index, "a", last=False, final=False))
    assert gateway.applied == []
    gateway.take(gateway.whole(9, index, "a", part=2))
    assert (gateway.applied, gateway.core.counters.gaps) == ([], 1)


@pytest.mark.parametrize(("index", "name"), [(0, "a"), (2_000, "")])
def test_a_range_with_keys_of_another_is_spoilt(index, name):
    gateway = Gateway([Position("r1", 1, 3)]).following()
    gateway.take(gateway.batch(3, 3, horizon=9))
    gateway.take(gateway.whole(9, index, name))
    assert (gateway.applied, gateway.core.counters.spoilt) == ([], 1)


def test_ranges_that_nobody_asked_for_are_passed_over():
    gateway = Gateway([Position("r1", 1, 3)]).following()
    gateway.take(gateway.whole(9, range_of(Kind.TENANT, "a"), "a"))
    assert (gateway.applied, gateway.core.counters.passed_over) == ([], 1)


def differing(gateway: Gateway, name: str = "a", after: int = 0) -> None:
    gateway.take(gateway.batch(after, after + 1, name, digest=7))
    gateway.answer(digest=8)


def test_a_digest_that_differs_at_two_relays_takes_ranges_anew_and_if_it_repeats_another_relay():
    gateway = Gateway().following()
    first = gateway.core.relay
    gateway.run(0.5)
    differing(gateway)
    gateway.run(0.5)
    second = gateway.core.relay
    assert second not in ("", first)
    assert not any(isinstance(send.message, Digests) for send in gateway.sent)
    gateway.take(gateway.batch(1, 1, digest=7))
    gateway.answer(digest=8)
    assert gateway.last(Digests).to == second
    gateway.take(gateway.whole(1, range_of(Kind.TENANT, "a"), "a"))
    gateway.answer(digest=8)
    assert gateway.core.relay == second
    gateway.take(gateway.batch(1, 1, digest=7))
    gateway.answer(digest=8)
    gateway.run(0.5)
    assert gateway.core.relay not in ("", first, second)
    assert gateway.core.counters.differed == 3
    left = [event for event in gateway.events if event.name == "distribution.left"]
    assert [event.fields["reason"] for event in left] == ["digest", "digest"]


def test_where_the_second_relay_agrees_nothing_is_taken_of_the_first():
    gateway = Gateway().following()
    gateway.run(0.5)
    differing(gateway)
    gateway.run(0.5)
    gateway.take(gateway.batch(1, 1, digest=8))
    gateway.answer(digest=8)
    gateway.run(1)
    assert gateway.core.following
    assert not any(isinstance(send.message, Digests) for send in gateway.sent)


def test_where_there_is_no_other_relay_ranges_are_taken_after_a_time():
    gateway = Gateway([Position("r1", 1, 3)])
    gateway.dead = set(gateway.order[1:])
    gateway.following()
    for _ in range(7):
        gateway.take(gateway.batch(3, 3, digest=7))
        if gateway.applied:
            gateway.answer(digest=8)
        gateway.run(1)
    asked = gateway.last(Digests)
    assert (asked.to, asked.message.at) == (gateway.order[0], Version(1, 3))


def test_the_same_digest_or_none_asks_for_nothing():
    gateway = Gateway().following()
    gateway.take(gateway.batch(0, 2, "ab", digest=7))
    gateway.answer(digest=7)
    gateway.take(gateway.batch(2, 2, digest=7))
    gateway.take(gateway.batch(2, 3, "c", digest=9))
    gateway.answer(digest=None)
    assert not any(isinstance(send.message, Digests) for send in gateway.sent)


def test_a_kept_store_is_compared_with_the_first_heartbeat_that_tells_a_digest():
    gateway = Gateway([Position("r1", 1, 5)]).following()
    gateway.run(0.5)
    gateway.take(gateway.batch(5, 5, digest=3))
    assert (gateway.applied[-1].changes, gateway.applied[-1].digest) == ([], 3)
    gateway.answer(digest=4)
    assert gateway.core.counters.differed == 1


def test_ranges_are_asked_for_again_when_none_come():
    gateway = Gateway([Position("r1", 1, 3)], replace(SETTINGS, ranges=2 * SECOND)).following()
    for _ in range(4):
        gateway.take(gateway.batch(3, 3, horizon=9))
        gateway.run(1)
    asked = [send for send in gateway.sent if isinstance(send.message, Digests)]
    assert len(asked) == 2


def test_it_says_how_far_it_is_each_second_and_soon_after_a_change():
    gateway = Gateway().following()
    for _ in range(5):
        gateway.run(1)
        gateway.take(gateway.batch(0, 0))
    said = [send for send in gateway.sent if isinstance(send.message, Progress) and send.message.session]
    assert 5 <= len(said) <= 11
