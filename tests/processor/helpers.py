"""Helpers for the tests of the processor: addresses of ready instances, a store, and messages of a proxy."""

from __future__ import annotations

from linenbridge.processor import wire_pb2 as wire
from linenbridge.processor.store import ReservationStore
from tests.peer_script import ADDRESSES

READY = {f"{host}:{port}" for _, (host, port) in ADDRESSES}


def store(tmp_path, clock=lambda: 1_000_000.0) -> ReservationStore:
    return ReservationStore(str(tmp_path / "handed.db"), "process", lambda *_, **__: None, clock)


def body() -> wire.ProcessingRequest:
    message = wire.ProcessingRequest()
    message.request_body.body = b"x"
    return message


def trailers() -> wire.ProcessingRequest:
    message = wire.ProcessingRequest()
    message.request_trailers.SetInParent()
    return message


def successful_response() -> wire.ProcessingRequest:
    message = wire.ProcessingRequest()
    message.response_headers.headers.headers.add(key=":status", value="200")
    return message
