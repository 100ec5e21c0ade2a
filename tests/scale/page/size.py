"""The size that the page is worked out for, from docs/capacity/size.toml."""

from __future__ import annotations

from pathlib import Path

import msgspec
from msgspec import Struct, field

SIZE = Path(__file__).parents[3] / "docs" / "capacity" / "size.toml"
DAY = 86_400.0  # seconds
MEGABYTE = 1_000_000.0


class FleetSize(Struct, frozen=True, forbid_unknown_fields=True):
    """How many gateways, instances, services, regions and zones there are."""

    gateways: int
    instances: int
    services: int
    regions: int
    zones: int


class Load(Struct, frozen=True, forbid_unknown_fields=True):
    """Requests a second of all gateways, and what may be added to a request in milliseconds."""

    requests_a_second: float
    added_p99_ms: float


class ConfigurationSize(Struct, frozen=True, forbid_unknown_fields=True):
    """Routes, tenants and their changes; the times within which a change is in force and a look-up ends."""

    routes: int
    tenants: int
    changes_a_day: float
    in_force_s: float
    look_up_p99_us: float


class Failures(Struct, frozen=True, forbid_unknown_fields=True):
    """What fails and restarts on an ordinary day, and at once."""

    machines_failing_a_day: float
    restarts_a_day: float
    list_changes_a_restart: float
    gateways_restarting_together: float
    partition_hours: float = field(name="cut_hours")


class Release(Struct, frozen=True, forbid_unknown_fields=True):
    """How releases are staged and voted on."""

    services_on_trial: int
    stage_s: float
    share_on_trial: float
    outcomes_wanted: float
    vote_renewal_s: float
    process_days: float


class Budget(Struct, frozen=True, forbid_unknown_fields=True):
    """What control may cost at a gateway, and the machines that it has."""

    core_share: float
    memory_mb: float
    bytes_a_second: float
    machines: int
    relays: int
    quorum_members: int = field(name="quorum_seats")
    core_share_a_machine: float


class Size(Struct, frozen=True, forbid_unknown_fields=True):
    """An installation's size, its failures and its budgets; derived figures are properties."""

    fleet: FleetSize
    load: Load
    configuration: ConfigurationSize
    failures: Failures
    release: Release
    budget: Budget

    @property
    def requests_a_gateway(self) -> float:
        """Requests a second at a gateway on average."""
        return self.load.requests_a_second / self.fleet.gateways

    @property
    def instances_a_service(self) -> float:
        """Instances of a service on average."""
        return self.fleet.instances / self.fleet.services

    @property
    def instances_a_zone(self) -> float:
        """Instances of a zone on average."""
        return self.fleet.instances / self.fleet.zones

    @property
    def routes_a_service(self) -> float:
        """Routes of a service on average."""
        return self.configuration.routes / self.fleet.services

    @property
    def configuration_changes_a_second(self) -> float:
        """Changes of routes and tenants a second, evenly over the day."""
        return self.configuration.changes_a_day / DAY

    @property
    def list_changes_a_second(self) -> float:
        """Changes of the instance list a second, from restarts alone."""
        return self.failures.restarts_a_day * self.failures.list_changes_a_restart / DAY

    @property
    def gateway_restarts_a_day(self) -> float:
        """The gateways' part of all restarts."""
        machines = self.fleet.gateways + self.fleet.instances
        return self.failures.restarts_a_day * self.fleet.gateways / machines

    @property
    def gateways_restarting(self) -> float:
        """How many gateways restart at the same time in the stated burst."""
        return self.fleet.gateways * self.failures.gateways_restarting_together

    @property
    def memory(self) -> float:
        """The memory budget of a gateway in bytes."""
        return self.budget.memory_mb * MEGABYTE


def load_size(path: Path = SIZE) -> Size:
    """The stated size; a field that is missing, unknown or malformed is named."""
    return msgspec.toml.decode(path.read_bytes(), type=Size)
