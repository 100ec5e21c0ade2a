"""A toy world for one gateway: two instances, a discovery and a platform on loopback addresses.

Run it beside a gateway that was started with `config.json` of this folder; README has the lines. It is
written from the published protocol and knows just enough of it: every RPC is answered with its own key, one
build is out, votes are taken, and nothing ever fails. It is no load rig and no test.
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
    """Answers each command with its key, and tells how many it holds."""

    def __init__(self) -> None:
        self.reader = resp.Reader(commands=True)

    def dataReceived(self, data: bytes) -> None:
        for words in self.reader.feed(data):
            value, report = b"answer for " + bytes(words[1]), b"inflight=1,latency_ms=0.1"
            self.transport.writeSequence([b"*3\r\n", *resp.bulk(value), b"$-1\r\n", *resp.bulk(report)])


class Web(Protocol):
    """HTTP/1.1, one request at a time: a stream that stays open, or one answer."""

    first: Callable[[], dict]
    sign: bytes
    every: float

    def dataReceived(self, data: bytes) -> None:
        if data.startswith(b"POST"):
            body = json.dumps(STAGE).encode()
            print("vote:", data.rpartition(b"\r\n")[2].decode())
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
            return
        self.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.line(json.dumps(self.first()).encode())
        self.signs = LoopingCall(self.line, self.sign)
        self.signs.start(self.every, now=False)

    def line(self, text: bytes) -> None:
        self.transport.write(b"%x\r\n%b\n\r\n" % (len(text) + 1, text))

    def connectionLost(self, reason: object) -> None:
        if hasattr(self, "signs"):
            self.signs.stop()


class Discovery(Web):
    sign, every = b"", 2.0

    def first(self) -> dict:
        rows = [
            {"name": name, "address": f"127.0.0.1:{port}", "status": "active", "release": 1, "zone": "here"}
            for name, port in INSTANCES.items()
        ]
        return {"index": 1, "snapshot": True, "endpoints": rows}


class Platform(Web):
    sign, every = b"{}", 1.0

    def first(self) -> dict:
        return {"type": "stage", "object": STAGE}


if __name__ == "__main__":
    for port in INSTANCES.values():
        reactor.listenTCP(port, Factory.forProtocol(Instance), interface="127.0.0.1")
    reactor.listenTCP(DISCOVERY, Factory.forProtocol(Discovery), interface="127.0.0.1")
    reactor.listenTCP(PLATFORM, Factory.forProtocol(Platform), interface="127.0.0.1")
    print("two instances, discovery and platform listen on 127.0.0.1; end with Ctrl-C")
    reactor.run()
