"""Publishers that replace each other: only the newest epoch writes, after it has recovered the log."""

from __future__ import annotations

from tests.distribution.log.world import TIMING


def test_a_resumed_publisher_of_an_old_epoch_writes_nothing_and_logs_that_it_is_replaced(region):
    region.publish("p", "one", b"1", 1)
    region.publisher("q", 2)
    region.publish("p", "one", b"old", 2)
    region.publish("q", "one", b"new", 3)
    assert region.codes()[1:] == [("unconfirmed", "unconfirmed"), ("accepted", "")]
    assert all(region.values(name) == {"one": b"new"} for name in region.names)
    assert "distribution.replaced" in [event.name for name, event in region.events if name == "p"]
    region.publish("p", "one", b"older", 4)
    assert region.codes()[-1] == ("refused", "not_publisher")


def test_an_epoch_promised_to_one_publisher_is_rejected_for_another(region):
    """The acceptors grant a term once only. If their records are lost and a term is granted again, the relays
    still reject the second publisher."""
    region.publisher("q", 1)
    region.publish("q", "one", b"1")
    region.run(TIMING.answer_within)
    assert region.publishers["q"].deposed
    assert region.values("a") == {}


def test_a_new_publisher_recovers_a_change_that_only_a_majority_has(region):
    region.down = {"c"}
    region.publish("p", "one", b"1", 1)
    region.down = {"a", "p"}
    region.publisher("q", 2)
    region.publish("q", "two", b"2", 2)
    assert region.values("c") == {"one": b"1", "two": b"2"}
    region.down = {"p"}
    region.run(4 * TIMING.max_retry)
    assert region.logs_are_equal()


def test_a_publisher_that_regains_its_lease_under_the_same_term_continues_its_log(region):
    region.publish("p", "one", b"1", 1)
    region.publisher("p", None)
    region.publisher("p", 1)
    region.publish("p", "two", b"2", 2)
    region.run(TIMING.max_retry)
    assert region.states() == [(1, "accepted"), (2, "accepted")]
    assert region.logs_are_equal()
