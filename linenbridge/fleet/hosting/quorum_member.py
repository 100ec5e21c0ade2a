"""A process that is a member of the fleet and serves no RPCs, such as one that is an acceptor only.

Owns the start and the end of the process. Imports no module that serves RPCs.
"""

from __future__ import annotations

import secrets
import sys

from linenbridge.configuration.read import Configuration, ConfigurationError, read
from linenbridge.fleet.configuration import FleetSettings, fleet_settings
from linenbridge.fleet.hosting.member import Member
from linenbridge.logging.event_log import Log
from linenbridge.logging.structured import structured_log
from linenbridge.process import lifecycle

INCARNATION_BITS = 60


def run(configuration: Configuration, settings: FleetSettings) -> int:
    """Run one process from start to end; return the exit code."""
    log = structured_log(sys.stderr.buffer, configuration.log_level)
    reactor = lifecycle.begin(log)
    member = Member(settings, reactor, log, secrets.randbits(INCARNATION_BITS))
    log.event("started", member=settings.member)

    def stop() -> None:
        log.event("stopping")
        member.leave(reactor.stop)

    def counters() -> None:
        log.counters(**member.facts())

    def reload() -> None:
        reload_settings(configuration.path, member, log)

    lifecycle.run(reactor, log, stop, counters, reload)
    return 0


def reload_settings(path: str, member: Member, log: Log) -> None:
    """Read the settings again; they take effect as a whole, or not at all if they have a fault."""
    try:
        settings = fleet_settings(read(path))
        if settings is None or settings.member != member.settings.member:
            raise ConfigurationError(
                f"{path}: element 'fleet' is missing, or its `member` is not {member.settings.member}; "
                "restart the process to change its member"
            )
    except ConfigurationError as error:
        log.event("fleet.settings_rejected", error=str(error))
        return
    member.update_settings(settings)
    log.event("fleet.settings_reloaded", generation=settings.quorum.generation)
