"""A toy deployment for one gateway: two instances, a discovery and a platform on loopback addresses.

Run it beside a gateway that was started with `config.json` of this folder; the README has the commands. It is
written from the published protocol and implements a small part: the response to every RPC contains the RPC's
own key, one build is live, votes are accepted, and nothing fails. It is neither a load generator nor a test.
"""

from __future__ import annotations

import json
from collections.abc import Callable

from twisted.internet import reactor
from twisted.internet.protocol import Factory, Protocol
from twisted.internet.task import LoopingCall

from linenbridge.net import resp

INSTANCES = {"toy-1": 7001, "toy-2": 7002}
DISCOVERY, PLATFORM = 7500, 7600
STAGE = {"version": 1, "step": 0, "status": "live", "maxWeight": 1.0, "observedAgoMs": 0}


class Instance(Protocol):
    """Answers each command with its key, and reports its number of requests in flight."""

    def __init__(self) -> None:
        self.reader = resp.Reader(commands=True)

    def dataReceived(self, data: bytes) -> None:
        """Answer each command."""
        for words in self.reader.feed(data):
            value, report = b"answer for " + bytes(words[1]), b"inflight=1,latency_ms=0.1"
            self.transport.writeSequence([b"*3\r\n", *resp.bulk(value), b"$-1\r\n", *resp.bulk(report)])


class Web(Protocol):
    """HTTP/1.1, one request at a time: a stream that stays open, or one response."""

    first: Callable[[], dict]
    heartbeat: bytes
    interval: float

    def dataReceived(self, data: bytes) -> None:
        """Answer a POST as a vote, and any other request with the stream."""
        if data.startswith(b"POST"):
            body = json.dumps(STAGE).encode()
            print("vote:", data.rpartition(b"\r\n")[2].decode())
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
            return
        self.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.send_line(json.dumps(self.first()).encode())
        self.heartbeats = LoopingCall(self.send_line, self.heartbeat)
        self.heartbeats.start(self.interval, now=False)

    def send_line(self, text: bytes) -> None:
        """Send one chunk with a line."""
        self.transport.write(b"%x\r\n%b\n\r\n" % (len(text) + 1, text))

    def connectionLost(self, reason: object) -> None:  # noqa: ARG002  # Twisted's signature
        """Stop the heartbeats."""
        if hasattr(self, "heartbeats"):
            self.heartbeats.stop()


class Discovery(Web):
    """The stream of endpoints."""

    heartbeat, interval = b"", 2.0

    def first(self) -> dict:
        """Return the list of all instances."""
        rows = [
            {"name": name, "address": f"127.0.0.1:{port}", "status": "active", "release": 1, "zone": "here"}
            for name, port in INSTANCES.items()
        ]
        return {"index": 1, "snapshot": True, "endpoints": rows}


class Platform(Web):
    """The feed of the rollout, and the receiver of votes."""

    heartbeat, interval = b"{}", 1.0

    def first(self) -> dict:
        """Return the state of the rollout."""
        return {"type": "stage", "object": STAGE}


if __name__ == "__main__":
    for port in INSTANCES.values():
        reactor.listenTCP(port, Factory.forProtocol(Instance), interface="127.0.0.1")
    reactor.listenTCP(DISCOVERY, Factory.forProtocol(Discovery), interface="127.0.0.1")
    reactor.listenTCP(PLATFORM, Factory.forProtocol(Platform), interface="127.0.0.1")
    print("two instances, discovery and platform listen on 127.0.0.1; end with Ctrl-C")
    reactor.run()
