"""Messages of the external-processing protocol: requests decoded, responses encoded.

A message that cannot be parsed raises MalformedError. Header names are lower-cased; raw header values are
decoded as latin-1, which keeps every byte. Unknown fields are ignored, as the protocol requires.
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
    """A message that violates the protocol. Its text is sent to the proxy as the gRPC status message."""


@dataclass(slots=True)
class ProxyMessage:
    """One message of a proxy.

    `ended` is set on the last message of its direction. `observed` is set on a message that must not get a
    response.
    """

    kind: MessageKind
    headers: dict[str, str] = field(default_factory=dict)
    attributes: dict[str, str] = field(default_factory=dict)
    ended: bool = False
    observed: bool = False

    def request(self) -> Request:
        """Return the request that the headers describe, in the form that routes match."""
        return Request(
            self.headers.get(":authority", self.headers.get("host", "")),
            self.headers.get(":path", "/"),
            self.headers.get(":method", "GET"),
            self.headers.get(":scheme", "http"),
            self.headers,
            self.attributes,
        )


def decode(data: bytes | memoryview) -> ProxyMessage:
    """Decode one ProcessingRequest. Raises MalformedError if the bytes or the headers are invalid."""
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
    """Return the header values by name.

    Values of one name are joined by a comma (RFC 9110, section 5.2). Raises MalformedError if a pseudo-header
    occurs twice, or if there are more than MAX_HEADERS headers.
    """
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
    """Return the strings, numbers and booleans of all groups as text, by name; integers have no fraction."""
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
    """Return the response to the headers of a request that is dispatched.

    `metadata` is a namespace with its values. The response requests that the proxy send the instance's
    response headers, and its trailers if `trailers` is set.
    """
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
    """Return the response that lets a message of `kind` pass. A body must have no `headers`."""
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
    """Return a final response that replaces an instance's; `grpc_code` is set for callers that use gRPC."""
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
