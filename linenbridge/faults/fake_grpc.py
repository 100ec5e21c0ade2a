"""An empty processor on `grpcio`, to weigh the transport: its asyncio server, which keeps to one thread of
Python beside the library's own. It decides nothing; a development dependency alone."""

from __future__ import annotations

import asyncio
import sys

import grpc

from linenbridge.processor import codec
from linenbridge.processor.stream_phases import MessageKind


async def serve(port: int, endpoint: str) -> None:
    headers = {"x-gateway-destination-endpoint": endpoint}

    async def process(messages, context):  # noqa: ANN001, ANN202
        async for data in messages:
            heard = codec.decode(data)
            if heard.kind == MessageKind.REQUEST_HEADERS:
                yield codec.dispatch_response(headers, ("envoy.lb", headers), False)
            else:
                yield codec.continue_response(heard.kind or MessageKind.RESPONSE_HEADERS)

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
