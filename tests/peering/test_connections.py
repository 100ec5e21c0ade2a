"""Links between members: what a peer of any manners costs, and whom. Twisted's transports in memory."""

from __future__ import annotations

import io

import pytest
from msgspec import Struct
from msgspec.msgpack import Decoder
from twisted.internet.abstract import FileDescriptor
from twisted.internet.error import ConnectionDone
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from linenbridge.peering.connections import (
    CONNECT_TIMEOUT,
    Deliver,
    Hello,
    PeerConnections,
    WellFormedNames,
    _encode,
)
from linenbridge.fleet.leases.messages import RecoveryRequest
from linenbridge.logging.event_log import Log


class Wire(StringTransport):
    def setTcpNoDelay(self, on: bool) -> None: ...  # noqa: N802


class Ping(Struct, array_like=True, frozen=True, tag="ping"):
    """A word of another set than the leases'."""

    text: str


class StuckSocket(FileDescriptor):
    """Twisted's own buffer before a socket whose far end reads nothing."""

    def __init__(self, reactor) -> None:
        super().__init__(reactor)
        self.connected, self.aborted = True, False

    def getPeer(self) -> str:  # noqa: N802
        return "far"

    getHost = getPeer  # noqa: N815

    def setTcpNoDelay(self, on: bool) -> None: ...  # noqa: N802
    def startWriting(self) -> None: ...  # noqa: N802
    def stopWriting(self) -> None: ...  # noqa: N802

    def writeSomeData(self, data: bytes) -> int:  # noqa: N802
        return 0

    def abortConnection(self) -> None:  # noqa: N802
        self.aborted, self.connected = True, False

    def held(self) -> int:
        return len(self.dataBuffer) - self.offset + self._tempDataLen


class End:
    """One process's links on a reactor in memory."""

    def __init__(self, name: str, known, **more) -> None:  # noqa: ANN001
        self.reactor, self.words, self.ups = MemoryReactorClock(), [], []
        self.log = Log(io.BytesIO())
        known = frozenset(known.split()) if isinstance(known, str) else known
        self.connections = PeerConnections(
            name, known, self.reactor, self.log, lambda *row: self.words.append(row),
            on_peer_changed=lambda *row: self.ups.append(row), **more,
        )  # fmt: skip

    def came(self, wire=None):  # noqa: ANN001
        link = self.connections.buildProtocol(None)
        if link is not None:
            link.makeConnection(wire or Wire())
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
    other.connections.send("a", word)
    carry(other, one)
    assert here.words == [("b", word)] and list(here.connections.by_peer) == ["b"]
    here.connections.send("c", word)
    assert one.transport.value() == b"", "nobody of that name is there"


@pytest.mark.parametrize("name", ["z", "", "b" * 500])
def test_a_stranger_costs_its_own_connection(name):
    here, stranger = End("a", "b c"), End(name, "a")
    one, other = here.came(), stranger.came()
    carry(other, one)
    assert one.transport.disconnecting or one.transport.disconnected
    assert not here.connections.by_peer and not here.words


@pytest.mark.parametrize("word", [b"", b"\xff" * 9, _encode.encode(["round", 1]), _encode.encode({"a": 1})])
def test_what_is_no_word_costs_its_own_connection(word):
    here, one, other = met()
    other.callRemote(Deliver, word=word)
    carry(other, one)
    assert one.transport.disconnecting or one.transport.disconnected
    assert not here.words


def test_a_word_before_the_name_is_none():
    here = End("a", "b")
    one, other = here.came(), End("b", "a").came()
    other.transport.clear()
    other.callRemote(Deliver, word=_encode.encode(RecoveryRequest(1, "b", 1)))
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
    here.reactor.advance(CONNECT_TIMEOUT + 1)
    assert all(link.transport.disconnecting or link.transport.disconnected for link in open_now)


def test_one_that_names_itself_twice_is_cut_off():
    here, one, other = met()
    other.callRemote(Hello, name="c")
    carry(other, one)
    assert one.transport.disconnecting or one.transport.disconnected
    assert "c" not in here.connections.by_peer


def test_another_set_of_words_takes_the_same_commands():
    decoder = Decoder(Ping)
    here, there = End("a", "b", decoder=decoder), End("b", "a", decoder=decoder)
    one, other = here.came(), there.came()
    carry(one, other)
    carry(other, one)
    other.connections.send("a", Ping("here"))
    carry(other, one)
    assert here.words == [("b", Ping("here"))]
    other.callRemote(Deliver, word=_encode.encode(RecoveryRequest(3, "b", 1)))
    carry(other, one)
    assert one.transport.disconnecting or one.transport.disconnected, "a word of the leases is none here"
    assert len(here.words) == 1


@pytest.mark.parametrize("name", ["g-1", "g-1.eu", "g-" + "9" * 61])
def test_a_rule_takes_names_that_no_settings_list(name):
    here, there = End("relay", WellFormedNames("g-"), max_connections=4), End(name, "relay")
    one, other = here.came(), there.came()
    carry(other, one)
    assert list(here.connections.by_peer) == [name] and here.ups == [(name, True)]
    one.connectionLost(Failure(ConnectionDone()))
    assert not here.connections.by_peer and here.ups[-1] == (name, False)


@pytest.mark.parametrize("name", ["", "relay", "h-1", "g-1 x", "g-" + "9" * 62, "g-\n"])
def test_a_rule_refuses_names_that_are_not_well_formed(name):
    here, stranger = End("relay", WellFormedNames("g-"), max_connections=4), End(name, "relay")
    one, other = here.came(), stranger.came()
    carry(other, one)
    assert one.transport.disconnecting or one.transport.disconnected
    assert not here.connections.by_peer and not here.ups


def test_names_by_a_rule_need_a_bound_and_cost_no_counter_each():
    with pytest.raises(ValueError, match="bound on connections"):
        End("relay", WellFormedNames())
    here = End("relay", WellFormedNames("g-"), max_connections=3)
    ends = [(here.came(), End(name, "relay").came()) for name in ("g-1", "g-2", "x", "y")]
    assert ends[3][0] is None, "no more connections than the bound"
    for one, other in ends[:3]:
        carry(other, one)
    assert {names for names in here.log.counts if names[0].startswith("link.")} == {
        ("link.up", "any"), ("link.stranger", "any"), ("link.too_many", "all"),
    }  # fmt: skip


def stuck(max_unsent_bytes: int):
    """A link to one that names itself and then reads nothing."""
    here = End("a", "b c", max_unsent_bytes=max_unsent_bytes, decoder=Decoder(Ping))
    wire = StuckSocket(here.reactor)
    one, other = here.came(wire), End("b", "a").came()
    carry(other, one)
    return here, one, wire


def test_one_that_reads_nothing_costs_bounded_memory_and_then_its_own_connection():
    here, one, wire = stuck(max_unsent_bytes=200_000)
    most = 0
    for _ in range(400):
        here.connections.send("b", Ping("x" * 10_000))
        most = max(most, one.send_buffer.bytes + wire.held())
    assert wire.aborted and most < 200_000 + 2 * FileDescriptor.bufferSize
    assert here.log.counts["link.unread", "b"] == 1
    assert not one.send_buffer.waiting and one.send_buffer.bytes == 0


def test_one_that_asks_for_answers_and_reads_none_is_bounded_too():
    here, one, wire = stuck(max_unsent_bytes=50_000)
    asks = StringTransport()
    for number in range(20_000):
        asks.clear()
        box = {b"_command": b"Nothing", b"_ask": b"%d" % number}
        for key, value in box.items():
            asks.write(len(key).to_bytes(2) + key + len(value).to_bytes(2) + value)
        asks.write(b"\0\0")
        one.dataReceived(asks.value())
        if wire.aborted:
            break
    assert wire.aborted and here.log.counts["link.unread", "b"] == 1


def test_one_that_reads_late_gets_every_word_in_order():
    here, one, wire = stuck(max_unsent_bytes=1_000_000)
    for number in range(60):
        here.connections.send("b", Ping(f"{number:05}" * 1_000))
    assert one.send_buffer.waiting, "some words wait behind the transport's own buffer"
    there = End("b", "a", decoder=Decoder(Ping))
    far, sent = there.came(), bytearray()

    def take(data: bytes) -> int:
        sent.extend(data)
        return len(data)

    wire.writeSomeData = take
    for _ in range(100):
        wire.doWrite()
    far.dataReceived(bytes(sent))
    assert [word.text[:5] for _, word in there.words] == [f"{number:05}" for number in range(60)]
    assert not wire.aborted and one.send_buffer.bytes == 0
