"""`grpc.health.v1`: whether proxies may ask here. Owns the streams that watch it, and the present answer.

It must never make anything up: the program says when it serves and when it stops.
"""

from __future__ import annotations

from google.protobuf.message import DecodeError

from linenbridge.processor import http2
from linenbridge.processor import wire_pb2 as wire

SERVING, NOT_SERVING = wire.HealthCheckResponse.SERVING, wire.HealthCheckResponse.NOT_SERVING
SERVICES = ("", "envoy.service.ext_proc.v3.ExternalProcessor")


def _answer(status: int) -> bytes:
    return wire.HealthCheckResponse(status=status).SerializeToString()


class Health:
    """The present answer, and who watches it."""

    def __init__(self) -> None:
        self.status = NOT_SERVING
        self.watching: dict[Asker, None] = {}

    def say(self, serves: bool) -> None:
        status = SERVING if serves else NOT_SERVING
        if status != self.status:
            self.status = status
            for asker in list(self.watching):
                asker.call.send(_answer(status))

    def check(self, call: http2.Call) -> Asker:
        return Asker(self, call, watches=False)

    def watch(self, call: http2.Call) -> Asker:
        return Asker(self, call, watches=True)


class Asker:
    """One question on a stream."""

    def __init__(self, health: Health, call: http2.Call, watches: bool) -> None:
        self.health, self.call, self.watches = health, call, watches

    def on_message(self, data: memoryview) -> None:
        try:
            asked = wire.HealthCheckRequest.FromString(bytes(data))
        except DecodeError:
            self.call.finish(http2.INVALID_ARGUMENT, "the message is no HealthCheckRequest")
            return
        known = asked.service in SERVICES
        if not self.watches:
            if known:
                self.call.send(_answer(self.health.status))
                self.call.finish(http2.OK)
            else:
                self.call.finish(http2.NOT_FOUND, "no such service here")
            return
        self.call.send(_answer(self.health.status if known else wire.HealthCheckResponse.SERVICE_UNKNOWN))
        if known:
            self.health.watching[self] = None

    def on_half_closed(self) -> None:
        """A watch goes on when its question has been asked."""

    def on_closed(self) -> None:
        self.health.watching.pop(self, None)
