"""An empty processor on the same transport: makes no decisions and responds at once.

Its cost is the cost of the transport, which fault runs compare with the gateway's. It uses only the kind of
a message.
"""

from __future__ import annotations

import sys
import time

from twisted.internet.main import installReactor

from linenbridge.logging.event_log import Log
from linenbridge.net.reactor import Reactor
from linenbridge.processor import codec, http2
from linenbridge.processor.connection_limits import ConnectionLimits
from linenbridge.processor.server import PROCESS
from linenbridge.processor.stream_phases import MessageKind

LIMITS = ConnectionLimits(1000, 65536, 16384, 1 << 20, 2_000_000, 5_000_000, 600_000_000)


class Echo:
    """The handler of a stream, which sends every request to one address."""

    def __init__(self, call: http2.Call, endpoint: str) -> None:
        self.call, self.endpoint = call, endpoint

    def on_message(self, data: memoryview) -> None:
        """Send a request to the endpoint, and any other message onward unchanged."""
        message = codec.decode(data)
        if message.kind == MessageKind.REQUEST_HEADERS:
            headers = {"x-gateway-destination-endpoint": self.endpoint}
            self.call.send(codec.dispatch_response(headers, ("envoy.lb", headers), False))
        else:
            self.call.send(codec.continue_response(message.kind or MessageKind.RESPONSE_HEADERS))

    def on_half_closed(self) -> None:
        """End the stream with OK."""
        self.call.finish(http2.OK)

    def on_closed(self) -> None:
        """Do nothing."""
        ...


def main(port: int, endpoint: str) -> None:
    """Listen on a loopback port until the process ends."""
    reactor = Reactor()
    installReactor(reactor)
    log = Log(sys.stderr.buffer)
    server = http2.Server(reactor, lambda: time.monotonic_ns() // 1000, LIMITS, 64, log)
    server.services = {PROCESS: lambda call: Echo(call, endpoint)}
    reactor.listenTCP(port, server, interface="127.0.0.1")
    log.event("started")
    reactor.run()


if __name__ == "__main__":
    main(int(sys.argv[1]), sys.argv[2])
