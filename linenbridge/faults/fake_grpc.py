"""An empty processor on `grpcio`, for comparing the cost of transports.

It runs the library's asyncio server, which uses one Python thread beside the library's own, and makes no
decisions. `grpcio` is a development dependency only.
"""

from __future__ import annotations

import asyncio
import sys

import grpc

from linenbridge.processor import codec
from linenbridge.processor.stream_phases import MessageKind


async def serve(port: int, endpoint: str) -> None:
    """Send every request to `endpoint` until the process ends."""
    headers = {"x-gateway-destination-endpoint": endpoint}

    async def process(messages, _context):
        async for data in messages:
            message = codec.decode(data)
            if message.kind == MessageKind.REQUEST_HEADERS:
                yield codec.dispatch_response(headers, ("envoy.lb", headers), False)
            else:
                yield codec.continue_response(message.kind or MessageKind.RESPONSE_HEADERS)

    server = grpc.aio.server()
    handler = grpc.stream_stream_rpc_method_handler(process)
    service = "envoy.service.ext_proc.v3.ExternalProcessor"
    server.add_generic_rpc_handlers((grpc.method_handlers_generic_handler(service, {"Process": handler}),))
    server.add_insecure_port(f"127.0.0.1:{port}")
    await server.start()
    print('{"event":"started"}', file=sys.stderr, flush=True)
    await server.wait_for_termination()


if __name__ == "__main__":
    asyncio.run(serve(int(sys.argv[1]), sys.argv[2]))
