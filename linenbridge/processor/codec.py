"""Messages of the external-processing protocol: requests decoded, responses encoded.

A message that cannot be read raises MalformedError. Names of headers are lower-cased; values that are no text
keep their bytes as latin-1. Unknown fields are ignored, as the protocol asks.
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
    """The bytes are no message of the protocol; the text goes to the proxy."""


@dataclass(slots=True)
class ProxyMessage:
    """One message of a proxy. `ended`: nothing of its direction follows; `observed`: it gets no response."""

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
    """Decode one ProcessingRequest; MalformedError where that fails."""
    message = wire.ProcessingRequest()
    try:
        message.ParseFromString(bytes(data))
    except (DecodeError, RecursionError, ValueError) as error:
        raise MalformedError("the message is no ProcessingRequest") from error
    name = message.WhichOneof("request")
    kind = MessageKind(name or "")
    decoded = ProxyMessage(kind, observed=message.observability_mode)
    if kind == MessageKind.UNKNOWN:
        return decoded
    part = getattr(message, kind)
    if kind in HEADER_KINDS:
        decoded.headers = _headers(part.headers)
        decoded.ended = part.end_of_stream
    elif kind in (MessageKind.REQUEST_TRAILERS, MessageKind.RESPONSE_TRAILERS):
        decoded.headers = _headers(part.trailers)
        decoded.ended = True
    else:
        decoded.ended = part.end_of_stream
    if message.attributes:
        decoded.attributes = _attributes(message.attributes)
    return decoded


def _headers(header_map: wire.HeaderMap) -> dict[str, str]:
    """Headers by name. Several of one name are joined by a comma (RFC 9110, section 5.2); a pseudo-header
    comes once."""
    if len(header_map.headers) > MAX_HEADERS:
        raise MalformedError(f"more than {MAX_HEADERS} headers")
    values: dict[str, str] = {}
    for header in header_map.headers:
        name = header.key.lower()
        value = header.raw_value.decode("latin-1") if header.raw_value else header.value
        if name in values:
            if name.startswith(":"):
                raise MalformedError(f"the header {name} came twice")
            value = f"{values[name]},{value}"
        values[name] = value
    return values


def _attributes(groups: dict[str, Struct]) -> dict[str, str]:
    """The plain values of all groups by name; numbers without a fraction as whole ones."""
    values: dict[str, str] = {}
    for _, group in sorted(groups.items()):
        for name, value in sorted(group.fields.items()):
            match value.WhichOneof("kind"):
                case "string_value":
                    values[name] = value.string_value
                case "number_value":
                    number = value.number_value
                    values[name] = str(int(number)) if number.is_integer() else repr(number)
                case "bool_value":
                    values[name] = "true" if value.bool_value else "false"
    return values


# ---- responses ------------------------------------------------------------------------------------------


def _set_headers(mutation: wire.HeaderMutation, headers: dict[str, str]) -> None:
    for name, value in headers.items():
        option = mutation.set_headers.add()
        option.header.key = name
        option.header.raw_value = value.encode("latin-1", "replace")
        option.append_action = OVERWRITE


def dispatch_response(
    headers: dict[str, str], metadata: tuple[str, dict[str, str]] | None, trailers: bool
) -> bytes:
    """The response to request headers that go on; `metadata` is a namespace with its values. It asks the
    proxy to show the instance's response headers, and with `trailers` its trailers."""
    response = wire.ProcessingResponse()
    common = response.request_headers.response
    _set_headers(common.header_mutation, headers)
    common.clear_route_cache = True
    if metadata is not None:
        response.dynamic_metadata[metadata[0]] = metadata[1]
    mode = response.mode_override
    mode.response_header_mode = wire.ProcessingMode.SEND
    mode.request_trailer_mode = wire.ProcessingMode.SKIP
    mode.response_trailer_mode = wire.ProcessingMode.SEND if trailers else wire.ProcessingMode.SKIP
    return response.SerializeToString()


def continue_response(kind: MessageKind, headers: dict[str, str] | None = None) -> bytes:
    """The response that lets any other message pass, with these headers set unless it is a body."""
    response = wire.ProcessingResponse()
    part = getattr(response, kind)
    if kind in (MessageKind.REQUEST_TRAILERS, MessageKind.RESPONSE_TRAILERS):
        part.SetInParent()
        if headers:
            _set_headers(part.header_mutation, headers)
    else:
        part.response.SetInParent()
        if headers:
            _set_headers(part.response.header_mutation, headers)
    return response.SerializeToString()


def immediate_response(code: int, headers: dict[str, str], details: str, grpc_code: int | None) -> bytes:
    """A final response in place of an instance's; `grpc_code` is the status for callers that use gRPC."""
    response = wire.ProcessingResponse()
    part = response.immediate_response
    part.status.code = code
    _set_headers(part.headers, headers)
    part.details = details
    if grpc_code is None:
        part.body = f"{details}\n".encode()
    else:
        part.grpc_status.status = grpc_code
    return response.SerializeToString()
