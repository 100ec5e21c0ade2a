"""Links between members: what a peer of any manners costs, and whom. Twisted's transports in memory."""

from __future__ import annotations

import io

import pytest
from twisted.internet.testing import MemoryReactorClock, StringTransport

from linenbridge.fleet.hosting.links import CONNECT_WAIT, Links, Meet, Say, _encode
from linenbridge.fleet.leases.messages import RecoveryRequest
from linenbridge.net.log import Log


class Wire(StringTransport):
    def setTcpNoDelay(self, on: bool) -> None: ...  # noqa: N802


class End:
    """One member's links on a reactor in memory."""

    def __init__(self, name: str, known: str) -> None:
        self.reactor, self.words = MemoryReactorClock(), []
        log = Log(io.BytesIO())
        self.links = Links(
            name, frozenset(known.split()), self.reactor, log, lambda *row: self.words.append(row)
        )

    def came(self):
        link = self.links.buildProtocol(None)
        if link is not None:
            link.makeConnection(Wire())
        return link


def carry(one, other) -> None:
    """All that one end has written, to the other."""
    data = one.transport.value()
    one.transport.clear()
    other.dataReceived(data)


def met() -> tuple[End, object, object]:
    here, there = End("a", "b c"), End("b", "a c")
    one, other = here.came(), there.came()
    carry(one, other)
    carry(other, one)
    return here, one, other


def test_words_go_both_ways_by_name():
    here, one, other = met()
    word = RecoveryRequest(3, "b", 1)
    other.links.say("a", word)
    carry(other, one)
    assert here.words == [("b", word)] and list(here.links.to) == ["b"]
    here.links.say("c", word)
    assert one.transport.value() == b"", "nobody of that name is there"


@pytest.mark.parametrize("name", ["z", "", "b" * 500])
def test_a_stranger_costs_its_own_connection(name):
    here, stranger = End("a", "b c"), End(name, "a")
    one, other = here.came(), stranger.came()
    carry(other, one)
    assert one.transport.disconnecting or one.transport.disconnected
    assert not here.links.to and not here.words


@pytest.mark.parametrize("word", [b"", b"\xff" * 9, _encode.encode(["round", 1]), _encode.encode({"a": 1})])
def test_what_is_no_word_costs_its_own_connection(word):
    here, one, other = met()
    other.callRemote(Say, word=word)
    carry(other, one)
    assert one.transport.disconnecting or one.transport.disconnected
    assert not here.words


def test_a_word_before_the_name_is_none():
    here = End("a", "b")
    one, other = here.came(), End("b", "a").came()
    other.transport.clear()
    other.callRemote(Say, word=_encode.encode(RecoveryRequest(1, "b", 1)))
    carry(other, one)
    assert not here.words


def test_noise_instead_of_the_protocol_ends_its_connection():
    here = End("a", "b")
    one = here.came()
    one.dataReceived(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n" * 3)
    assert one.transport.disconnecting or one.transport.disconnected


def test_one_that_never_says_its_name_is_cut_off_and_there_are_only_so_many():
    here = End("a", "b c")
    links = [here.came() for _ in range(40)]
    open_now = [link for link in links if link is not None]
    assert len(open_now) == 4 * 2 + 16
    here.reactor.advance(CONNECT_WAIT + 1)
    assert all(link.transport.disconnecting or link.transport.disconnected for link in open_now)


def test_one_that_names_itself_twice_is_cut_off():
    here, one, other = met()
    other.callRemote(Meet, name="c")
    carry(other, one)
    assert one.transport.disconnecting or one.transport.disconnected
    assert "c" not in here.links.to
