"""A process that is a member of the fleet and serves no RPCs.

Owns its start and end. It must never import what serves RPCs.
"""

from __future__ import annotations

import secrets
import sys

from linenbridge.configuration.read import Configuration, ConfigurationError, read
from linenbridge.fleet.configuration import FleetSettings, fleet_settings
from linenbridge.fleet.hosting.member import Member
from linenbridge.logging.structured import structured
from linenbridge.process import lifecycle


def run(configuration: Configuration, told: FleetSettings) -> int:
    """One process from start to end; returns the exit code."""
    log = structured(sys.stderr.buffer, configuration.log_level)
    reactor = lifecycle.begin(log)
    member = Member(told, reactor, log, secrets.randbits(60))
    log.event("started", member=told.member)

    def stop() -> None:
        log.event("stopping")
        member.leave(reactor.stop)

    def counters() -> None:
        log.counters(**member.facts())

    def anew() -> None:
        reload_settings(configuration.path, member, log)

    lifecycle.run(reactor, log, stop, counters, anew)
    return 0


def reload_settings(path: str, member: Member, log) -> None:  # noqa: ANN001
    """Read the settings anew. They are taken up as a whole, or not at all if anything is wrong."""
    try:
        told = fleet_settings(read(path))
        if told is None or told.member != member.told.member:
            raise ConfigurationError(f"{path}: element 'fleet': it names another member, or is gone")
    except ConfigurationError as error:
        log.event("fleet.refused", error=str(error))
        return
    member.update_settings(told)
    log.event("fleet.reloaded", generation=told.quorum.generation)
