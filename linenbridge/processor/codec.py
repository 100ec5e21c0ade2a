"""Messages of the protocol, read and written. It owns the form alone and must never decide what is said.

A message that cannot be read raises MalformedError with a plain word. Names of headers come in lower case;
values that are no text keep their bytes as latin-1. What is not known is passed over, as the protocol asks.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from google.protobuf.message import DecodeError
from google.protobuf.struct_pb2 import Struct

from linenbridge.processor import wire_pb2 as wire
from linenbridge.processor.stream_phases import MessageKind
from linenbridge.routes.table import Request

MAX_HEADERS = 256  # headers of one message
HEADER_KINDS = {MessageKind.REQUEST_HEADERS, MessageKind.RESPONSE_HEADERS}
OVERWRITE = wire.HeaderValueOption.OVERWRITE_IF_EXISTS_OR_ADD


class MalformedError(ValueError):
    """A message that is none; the text goes to the proxy."""


@dataclass(slots=True)
class ProxyMessage:
    """One message of a proxy in plain words."""

    kind: MessageKind
    headers: dict[str, str] = field(default_factory=dict)
    attributes: dict[str, str] = field(default_factory=dict)
    ended: bool = False
    observed: bool = False

    def request(self) -> Request:
        """The request that request headers are about, as routes match it."""
        return Request(
            self.headers.get(":authority", self.headers.get("host", "")),
            self.headers.get(":path", "/"),
            self.headers.get(":method", "GET"),
            self.headers.get(":scheme", "http"),
            self.headers,
            self.attributes,
        )


def decode(data: bytes | memoryview) -> ProxyMessage:
    """One ProcessingRequest."""
    message = wire.ProcessingRequest()
    try:
        message.ParseFromString(bytes(data))
    except (DecodeError, RecursionError, ValueError):
        raise MalformedError("the message is no ProcessingRequest") from None
    name = message.WhichOneof("request")
    kind = MessageKind(name or "")
    decoded = ProxyMessage(kind, observed=message.observability_mode)
    if kind == MessageKind.UNKNOWN:
        return decoded
    part = getattr(message, kind)
    if kind in HEADER_KINDS:
        decoded.headers, decoded.ended = _headers(part.headers), part.end_of_stream
    elif kind in (MessageKind.REQUEST_TRAILERS, MessageKind.RESPONSE_TRAILERS):
        decoded.headers, decoded.ended = _headers(part.trailers), True
    else:
        decoded.ended = part.end_of_stream
    if message.attributes:
        decoded.attributes = _attributes(message.attributes)
    return decoded


def _headers(found: wire.HeaderMap) -> dict[str, str]:
    """Several of one name are joined by a comma, as HTTP reads them; of pseudo headers there is one."""
    if len(found.headers) > MAX_HEADERS:
        raise MalformedError(f"more than {MAX_HEADERS} headers")
    named: dict[str, str] = {}
    for header in found.headers:
        name = header.key.lower()
        value = header.raw_value.decode("latin-1") if header.raw_value else header.value
        if name in named:
            if name.startswith(":"):
                raise MalformedError(f"the header {name} came twice")
            value = f"{named[name]},{value}"
        named[name] = value
    return named


def _attributes(found: dict[str, Struct]) -> dict[str, str]:
    """All groups' plain values under their names; numbers without a fraction as whole ones."""
    named: dict[str, str] = {}
    for _, group in sorted(found.items()):
        for name, value in sorted(group.fields.items()):
            match value.WhichOneof("kind"):
                case "string_value":
                    named[name] = value.string_value
                case "number_value":
                    number = value.number_value
                    named[name] = str(int(number)) if number.is_integer() else repr(number)
                case "bool_value":
                    named[name] = "true" if value.bool_value else "false"
    return named


# ---- answers -------------------------------------------------------------------------------------------


def _set_headers(mutation: wire.HeaderMutation, headers: dict[str, str]) -> None:
    for name, value in headers.items():
        option = mutation.set_headers.add()
        option.header.key = name
        option.header.raw_value = value.encode("latin-1", "replace")
        option.append_action = OVERWRITE


def dispatch_response(
    headers: dict[str, str], metadata: tuple[str, dict[str, str]] | None, trailers: bool
) -> bytes:
    """The answer to request headers that go on; `metadata` is a namespace with its values. The proxy is asked
    to show the response's headers, and its trailers where only they tell how it went."""
    answer = wire.ProcessingResponse()
    common = answer.request_headers.response
    _set_headers(common.header_mutation, headers)
    common.clear_route_cache = True
    if metadata is not None:
        answer.dynamic_metadata[metadata[0]] = metadata[1]
    mode = answer.mode_override
    mode.response_header_mode = wire.ProcessingMode.SEND
    mode.request_trailer_mode = wire.ProcessingMode.SKIP
    mode.response_trailer_mode = wire.ProcessingMode.SEND if trailers else wire.ProcessingMode.SKIP
    return answer.SerializeToString()


def continue_response(kind: MessageKind, headers: dict[str, str] | None = None) -> bytes:
    """The answer to any other message: it passes, with these headers set where it is headers."""
    answer = wire.ProcessingResponse()
    if kind in (MessageKind.REQUEST_TRAILERS, MessageKind.RESPONSE_TRAILERS):
        part = getattr(answer, kind)
        part.SetInParent()
        if headers:
            _set_headers(part.header_mutation, headers)
    else:
        part = getattr(answer, kind)
        part.response.SetInParent()
        if headers:
            _set_headers(part.response.header_mutation, headers)
    return answer.SerializeToString()


def immediate_response(code: int, headers: dict[str, str], details: str, grpc: int | None) -> bytes:
    """A final answer from here; `grpc` is the status for callers that speak gRPC."""
    answer = wire.ProcessingResponse()
    part = answer.immediate_response
    part.status.code = code
    _set_headers(part.headers, headers)
    part.details = details
    if grpc is None:
        part.body = f"{details}\n".encode()
    else:
        part.grpc_status.status = grpc
    return answer.SerializeToString()
