"""The process of a gateway that serves proxies.

The command `linenbridge processor` runs it alone, `linenbridge serve` with a RESP2 server as well.

Starts and stops the process: reads the settings, connects the components, and forwards signals. Makes no
decisions and keeps no state of requests.
"""

from __future__ import annotations

import os
import secrets
import sys
import time
from functools import partial
from typing import TYPE_CHECKING, Any

from linenbridge.configuration.read import Configuration, ConfigurationError
from linenbridge.logging.event_log import Log
from linenbridge.logging.structured import structured_log
from linenbridge.net.decision_loop import DecisionLoop
from linenbridge.net.discovery import host_port
from linenbridge.process import lifecycle
from linenbridge.process.components import build, reload
from linenbridge.process.configuration import ProcessConfiguration
from linenbridge.process.shutdown import Shutdown
from linenbridge.processor import tls
from linenbridge.processor.configuration import PeerDirectory, ProcessorSettings, processor_settings, routes
from linenbridge.processor.evidence import Evidence
from linenbridge.processor.external_processor import ExternalProcessor
from linenbridge.processor.health import HealthService
from linenbridge.processor.http2 import PERMISSION_DENIED, Call, Server
from linenbridge.processor.reservations import ReservationLedger
from linenbridge.processor.response_classification import ResponseClassifier
from linenbridge.processor.store import ReservationStore
from linenbridge.processor.stream_session import StreamSession
from linenbridge.routes.table import Routing, Table
from linenbridge.startup import startup

if TYPE_CHECKING:
    from linenbridge.distribution.view.view import View
    from linenbridge.processor.distributed import DistributedState

PROCESS = b"/envoy.service.ext_proc.v3.ExternalProcessor/Process"
HEALTH = b"/grpc.health.v1.Health/"
CLOSE_TIME = 0.1  # seconds after all RPCs have their responses, for connections and files to close
EXIT_TIME = 250_000  # microseconds of the stop's time in which a process without open RPCs exits


class UnauthorizedStream:
    """The receiver for a stream of a peer that is not in the settings; ends the stream at once."""

    def __init__(self, call: Call) -> None:
        call.finish(PERMISSION_DENIED, "no partner of these settings")

    def on_message(self, data: memoryview) -> None:
        """Do nothing: the stream has already ended."""
        ...

    def on_half_closed(self) -> None:
        """Do nothing: the stream has already ended."""
        ...

    def on_closed(self) -> None:
        """Do nothing: no state is kept for the stream."""
        ...


class ProcessorServer:
    """The external processor of one gateway and its HTTP/2 server."""

    def __init__(
        self,
        process_configuration: ProcessConfiguration,
        settings: ProcessorSettings,
        log: Log,
        reactor: Any,
        view: View | None = None,
    ) -> None:
        self.settings, self.log, self.reactor = settings, log, reactor
        start = startup(process_configuration.settings)
        self.longest_deadline = process_configuration.settings.max_deadline()
        self.table = routes(settings, list(start.methods), self.longest_deadline)
        self.routing = _routing(self.table, view)
        self.directory = PeerDirectory(settings.peers)
        self.health = HealthService()
        self.tls_context = tls.TlsContextFactory(settings.tls) if settings.tls is not None else None
        self.processor: ExternalProcessor | None = None
        self.server: Server | None = None

    def open(self, loop: DecisionLoop) -> ExternalProcessor:
        """Create the external processor and its server on a loop; `listen` starts listening."""
        settings = self.settings
        own_proxies = frozenset(known.peer.name for known in settings.peers if known.peer.is_own)
        store = None if settings.store is None else ReservationStore(*settings.store, self.log.event)
        processor = self.processor = ExternalProcessor(
            loop,
            self.reactor,
            self.routing,
            ReservationLedger(settings.terms),
            Evidence(own_proxies),
            ResponseClassifier(settings.non_execution_rules),
            settings.response_format,
            store,
            settings.pass_unrouted,
            time.time,
        )
        processor.start()
        peer_names = tls.certificate_names if self.tls_context is not None else lambda transport: ()
        self.server = Server(
            self.reactor, loop.now, settings.limits, settings.connections, self.log, peer_names
        )
        self.server.services = {
            PROCESS: self._open_session,
            HEALTH + b"Check": self.health.check,
            HEALTH + b"Watch": self.health.watch,
        }
        loop.on_turn_end.append(self.server.flush)
        return processor

    def _open_session(self, call: Call) -> StreamSession | UnauthorizedStream:
        peer = self.directory.find(call.peer.address, call.peer.names or ())
        if peer is None or self.processor is None:
            self.log.event_sampled("unauthorized_peer", call.peer.address, names=call.peer.names)
            return UnauthorizedStream(call)
        return StreamSession(self.processor, peer, call)

    def listen(self) -> None:
        """Listen for proxies and set the health status to serving. Raises RuntimeError before `open`."""
        server, settings = self.server, self.settings
        if server is None:
            raise RuntimeError("listen() was called before open()")
        if self.tls_context is not None:
            server.port = self.reactor.listenSSL(
                settings.port, server, self.tls_context, interface=settings.host
            )
        else:
            server.port = self.reactor.listenTCP(settings.port, server, interface=settings.host)
        self.health.set_serving(serving=True)
        self.log.event(
            "processor.listening",
            host=settings.host,
            port=server.port.getHost().port,
            tls=self.tls_context is not None,
            routes=len(self.table.rules),
        )

    def reload(self) -> None:
        """Reload keys and certificates. Changes of routes and other settings require a restart."""
        if self.tls_context is not None and (reload_error := self.tls_context.reload()) is not None:
            self.log.event("tls.reload.failed", error=reload_error)

    def shut_down(self, stopped: Any, time_limit: int) -> None:
        """Stop accepting streams, let open ones end within `time_limit` microseconds, then call `stopped`."""
        if self.server is None:
            stopped()
            return
        self.health.set_serving(serving=False)
        self.server.port.stopListening()
        self.server.drain(time_limit / 1e6, partial(self._on_streams_ended, stopped))

    def _on_streams_ended(self, stopped: Any) -> None:
        if self.processor is not None:
            self.processor.ids.close()
        stopped()

    def open_counts(self) -> dict[str, int]:
        """Return the numbers of connections, open RPCs and kept ids, for the log line of counters."""
        processor, server = self.processor, self.server
        if processor is None or server is None:
            return {}
        return {
            "proxies": len(server.open),
            "tickets": len(processor.ledger.by_id),
            "ids": len(processor.ledger.ended),
        }


def _routing(table: Table, view: View | None) -> Routing:
    """Return the routing table of the settings; routes of a view, if there is one, take precedence."""
    if view is None:
        return table
    from linenbridge.distribution.view.serving import RoutesByAuthority

    return RoutesByAuthority(view, table)


def _distributed(
    configuration: Configuration, process_configuration: ProcessConfiguration, log: Log, reactor: Any
) -> DistributedState | None:
    """Open the distributed state of this process; return None if the settings have no distribution."""
    if configuration.part("distribution") is None:
        return None
    from linenbridge.processor.distributed import open_distributed_state

    return open_distributed_state(configuration, process_configuration, log, reactor)


def _member(configuration: Configuration, log: Log, reactor: Any, loop: DecisionLoop):  # noqa: ANN202  (imported where it is used)
    """Return this process as a member of the fleet, or None without a fleet in the settings."""
    if configuration.part("fleet") is None:
        return None
    from linenbridge.fleet.configuration import fleet_settings
    from linenbridge.fleet.hosting.member import Member

    settings = fleet_settings(configuration)
    if settings is None:
        return None

    def on_freeze_changed(zones: frozenset[str] | None) -> None:
        loop.enqueue(lambda now: loop.decision_module.on_rollout_freeze(now, zones))

    return Member(settings, reactor, log, secrets.randbits(60), on_freeze_changed)


def run(configuration: Configuration, process_configuration: ProcessConfiguration, resp: bool) -> int:
    """Run the process until it is stopped: the processor, and the RESP2 server if `resp` is set.

    Returns the exit code. Raises ConfigurationError if the settings have no element `processor`.
    """
    if (settings := processor_settings(configuration)) is None:
        raise ConfigurationError(
            f"{configuration.path}: element 'linenbridge': the element 'processor' is missing"
        )
    log = structured_log(sys.stderr.buffer, configuration.log_level)
    reactor = lifecycle.begin(log)
    distributed = _distributed(configuration, process_configuration, log, reactor)
    view, start = (None, None) if distributed is None else (distributed.view, distributed.start)
    server = ProcessorServer(process_configuration, settings, log, reactor, view)
    parts = build(process_configuration, log, reactor, server.open, start)
    member = _member(configuration, log, reactor, parts.loop)
    reactor.serve(parts.loop)
    server.listen()
    if resp:
        parts.clients.listen(reactor, *host_port(process_configuration.listen))
    follower = None if distributed is None else distributed.start_following()
    log.event(
        "started", gateway=process_configuration.name, listen=process_configuration.listen if resp else ""
    )
    stop_time = parts.clients.stop_time
    shutdown = Shutdown(reactor, log, stop_time / 1e6 + CLOSE_TIME)
    shutdown.add("processor", partial(server.shut_down, time_limit=stop_time))
    if resp:
        shutdown.add("resp", partial(parts.clients.stop, reactor))
    if follower is not None:
        shutdown.add("view", follower.close)
    if member is not None:
        shutdown.add("fleet", partial(member.leave, time_limit=stop_time - EXIT_TIME))

    def stop() -> None:
        if not shutdown.has_begun:
            log.event("stopping", open=parts.loop.unanswered)
            shutdown.begin()

    def counters() -> None:
        log.counters(
            open=parts.loop.unanswered,
            clients=parts.clients.descriptors.open,
            upstream=parts.instances.descriptors.open,
            **server.open_counts(),
            **({} if member is None else member.facts()),
            **({} if follower is None else follower.facts()),
        )

    def reload_all() -> None:
        reload(parts, log, dict(os.environ))
        server.reload()
        if member is not None:
            from linenbridge.fleet.hosting.quorum_member import reload_settings

            reload_settings(configuration.path, member, log)

    lifecycle.run(reactor, log, stop, counters, reload_all)
    return 0
