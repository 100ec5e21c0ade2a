"""The gRPC service `grpc.health.v1.Health`, which reports whether this process serves proxies.

Owns the current status and the streams that watch it; the process sets the status when it starts and stops.
"""

from __future__ import annotations

from google.protobuf.message import DecodeError

from linenbridge.processor import http2
from linenbridge.processor import wire_pb2 as wire

SERVING = wire.HealthCheckResponse.SERVING
NOT_SERVING = wire.HealthCheckResponse.NOT_SERVING
SERVICES = ("", "envoy.service.ext_proc.v3.ExternalProcessor")


def _response(status: int) -> bytes:
    return wire.HealthCheckResponse(status=status).SerializeToString()


class HealthService:
    """The current status, and the streams that watch it."""

    def __init__(self) -> None:
        self.status = NOT_SERVING
        self.watchers: dict[HealthStream, None] = {}  # in the order of their registration

    def set_serving(self, *, serving: bool) -> None:
        """Set the status, and send it to the watching streams if it has changed."""
        status = SERVING if serving else NOT_SERVING
        if status != self.status:
            self.status = status
            for watcher in list(self.watchers):
                watcher.call.send(_response(status))

    def check(self, call: http2.Call) -> HealthStream:
        """Return the receiver for a stream of the method `Check`."""
        return HealthStream(self, call, watches=False)

    def watch(self, call: http2.Call) -> HealthStream:
        """Return the receiver for a stream of the method `Watch`."""
        return HealthStream(self, call, watches=True)


class HealthStream:
    """One stream. A check gets one response; a watch gets one at once and one at each change."""

    def __init__(self, service: HealthService, call: http2.Call, *, watches: bool) -> None:
        self.service = service
        self.call = call
        self.watches = watches

    def on_message(self, data: memoryview) -> None:
        """Respond to a request with the status of the service that it names."""
        try:
            request = wire.HealthCheckRequest.FromString(bytes(data))
        except DecodeError:
            self.call.finish(http2.INVALID_ARGUMENT, "the message is no HealthCheckRequest")
            return
        known = request.service in SERVICES
        if not self.watches:
            if known:
                self.call.send(_response(self.service.status))
                self.call.finish(http2.OK)
            else:
                self.call.finish(http2.NOT_FOUND, "no such service here")
            return
        self.call.send(_response(self.service.status if known else wire.HealthCheckResponse.SERVICE_UNKNOWN))
        if known:
            self.service.watchers[self] = None

    def on_half_closed(self) -> None:
        """Do nothing: a watch continues after the client has ended its side."""

    def on_closed(self) -> None:
        """Remove the stream from the watchers."""
        self.service.watchers.pop(self, None)
