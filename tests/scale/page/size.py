"""The assumed size of an installation, from docs/capacity/size.toml, and figures derived from that size."""

from __future__ import annotations

from pathlib import Path

import msgspec
from msgspec import Struct, field

SIZE = Path(__file__).parents[3] / "docs" / "capacity" / "size.toml"
DAY = 86_400.0  # seconds
MEGABYTE = 1_000_000.0


class FleetSize(Struct, frozen=True, forbid_unknown_fields=True):
    """The numbers of gateways, instances, services, regions and zones."""

    gateways: int
    instances: int
    services: int
    regions: int
    zones: int


class Load(Struct, frozen=True, forbid_unknown_fields=True):
    """Requests per second at all gateways, and the allowed added latency of a request in milliseconds."""

    requests_a_second: float
    added_p99_ms: float


class ConfigurationSize(Struct, frozen=True, forbid_unknown_fields=True):
    """Numbers of routes, tenants and changes, and the time limits for a change to apply and for a look-up."""

    routes: int
    tenants: int
    changes_a_day: float
    in_force_s: float
    look_up_p99_us: float


class Failures(Struct, frozen=True, forbid_unknown_fields=True):
    """Failures and restarts on an ordinary day, and those that happen at the same time."""

    machines_failing_a_day: float
    restarts_a_day: float
    list_changes_a_restart: float
    gateways_restarting_together: float
    partition_hours: float = field(name="cut_hours")


class Release(Struct, frozen=True, forbid_unknown_fields=True):
    """Numbers of services, outcomes and votes in releases, and the durations of their stages."""

    services_on_trial: int
    stage_s: float
    share_on_trial: float
    outcomes_wanted: float
    vote_renewal_s: float
    process_days: float


class Budget(Struct, frozen=True, forbid_unknown_fields=True):
    """The budget of the control plane at a gateway, and its machines."""

    core_share: float
    memory_mb: float
    bytes_a_second: float
    machines: int
    relays: int
    quorum_members: int = field(name="quorum_seats")
    core_share_a_machine: float


class Size(Struct, frozen=True, forbid_unknown_fields=True):
    """The size of an installation with its failures and budgets; derived figures are properties."""

    fleet: FleetSize
    load: Load
    configuration: ConfigurationSize
    failures: Failures
    release: Release
    budget: Budget

    @property
    def requests_a_gateway(self) -> float:
        """Average requests per second at a gateway."""
        return self.load.requests_a_second / self.fleet.gateways

    @property
    def instances_a_service(self) -> float:
        """Average number of instances of a service."""
        return self.fleet.instances / self.fleet.services

    @property
    def instances_a_zone(self) -> float:
        """Average number of instances of a zone."""
        return self.fleet.instances / self.fleet.zones

    @property
    def routes_a_service(self) -> float:
        """Average number of routes of a service."""
        return self.configuration.routes / self.fleet.services

    @property
    def configuration_changes_a_second(self) -> float:
        """Changes of routes and tenants per second, spread evenly over the day."""
        return self.configuration.changes_a_day / DAY

    @property
    def list_changes_a_second(self) -> float:
        """Changes of the instance list per second that are caused by restarts."""
        return self.failures.restarts_a_day * self.failures.list_changes_a_restart / DAY

    @property
    def gateway_restarts_a_day(self) -> float:
        """Restarts of gateways per day, as their share of all restarts."""
        machines = self.fleet.gateways + self.fleet.instances
        return self.failures.restarts_a_day * self.fleet.gateways / machines

    @property
    def gateways_restarting(self) -> float:
        """Number of gateways that restart at the same time in the burst that the size file assumes."""
        return self.fleet.gateways * self.failures.gateways_restarting_together

    @property
    def memory(self) -> float:
        """The memory budget of a gateway in bytes."""
        return self.budget.memory_mb * MEGABYTE


def load_installation_size(path: Path = SIZE) -> Size:
    """Load the assumed size of the installation from a TOML file.

    Raise msgspec.ValidationError, which names a missing, unknown or malformed field.
    """
    return msgspec.toml.decode(path.read_bytes(), type=Size)
