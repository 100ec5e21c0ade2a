"""Types of the messages that the simulator sends. Times are in seconds.

Fields have this project's names; `name=` gives the simulator's name of a field where it differs. A message
that does not have its type's form raises an error with the simulator's name of the field.
"""

from __future__ import annotations

from typing import Literal, get_args, get_type_hints

from msgspec import Struct, field
from msgspec.structs import fields

from linenbridge.startup import SettingsObject


class EndpointRow(Struct):
    """An instance in a numbered endpoint list; `started_at` is 0 if the time is unknown."""

    instance: int
    build: int = field(name="edition")
    state: Literal[0, 1, 2] = field(name="health")
    zone: str = field(name="rack_zone", default="")
    cell: int = field(name="block", default=0)
    size: float = field(name="power_hint", default=1.0)
    started_at: float = field(name="since", default=0.0)


class EndpointList(Struct):
    """An endpoint list; later endpoint updates refer to its number."""

    list_number: int = field(name="bank")
    rows: list[EndpointRow]


class GatewayStarted(Struct):
    """The start of a gateway, with its settings."""

    gateway_id: int
    random_seed: int
    settings: SettingsObject = field(name="info")


class EndpointUpdate(Struct):
    """An update from discovery.

    `form` is 0 for a pushed list, 1 for a polled list, 2 for a part of a polled list, 3 for a failed poll.
    """

    gateway_id: int
    form: Literal[0, 1, 2, 3]
    list_number: int = field(name="bank", default=-1)


class RequestReceived(Struct):
    """A client's request; `deadline` is in seconds from now, `work` the estimated service time in seconds."""

    gateway_id: int
    rpc_id: str = field(name="handle")
    deadline: float = field(name="ttl")
    method: str = field(name="profile")
    tenant: str | int = field(name="realm", default="")
    work: float | None = field(name="estimate", default=None)
    key: int | None = field(name="subject", default=None)


class ClientDisconnected(Struct):
    """The disconnect of a client that was waiting for the response to a request."""

    gateway_id: int
    rpc_id: str = field(name="handle")


class RolloutUpdate(Struct):
    """The state of a build's rollout, either pushed (`code` 0) or in response to a vote (`code` 1)."""

    gateway_id: int
    outcome: Literal["S", "N", "F", "E", "T"]
    code: int = 0
    build: int = field(name="rel", default=0)
    stage: int = field(name="wave", default=0)
    phase: Literal[0, 1, 2, 3] = field(name="course", default=0)
    cap: float = field(name="limit_share", default=0.0)


class TallyUpdate(Struct):
    """The platform's tally of the attempts of one method at a build.

    `duration` is the mean response time, `ended_before` the time since the end of the tally's period.
    """

    gateway_id: int
    build: int = field(name="rel")
    method: str = field(name="profile")
    attempts: int = field(name="n", default=0)
    failed: int = field(name="lost", default=0)
    duration: float = field(name="delay_seen", default=0.0)
    ended_before: float = field(name="since", default=0.0)


class GatewayStopped(Struct):
    """The stop of a gateway, whose state is discarded."""

    gateway_id: int


class ResponseStarted(Struct):
    """The arrival of the first part of a streamed response."""

    gateway_id: int
    rpc_id: str = field(name="handle")
    attempt: int = field(name="hop", default=0)


class AttemptFinished(Struct):
    """The end of an attempt; `load` is the instance's load report, by the names in `LOAD_REPORT_FIELDS`."""

    gateway_id: int
    rpc_id: str = field(name="handle")
    outcome: Literal["S", "E", "F", "T", "C", "R", "X", "N"]
    attempt: int = field(name="hop", default=0)
    final: bool = False
    duration: float = field(name="delay_seen", default=0.0)
    load: dict[str, float] = field(name="feedback", default_factory=dict)


class GossipReceived(Struct):
    """Gossip from the gateway `peer`; `payload` is hexadecimal."""

    gateway_id: int
    peer: int = field(name="src")
    payload: str = field(name="contents", default="")


class ProbeFinished(Struct):
    """The result of a probe. This project's gateways send no probes."""

    gateway_id: int


class InstanceFlagged(Struct):
    """The platform's report of a wrong response from an instance to a request of one method."""

    gateway_id: int
    instance: int
    method: str = field(name="profile")


class TimerElapsed(Struct):
    """The expiry of a timer that the gateway armed."""

    gateway_id: int
    timer: str = field(name="mark")


Message = (
    GatewayStarted
    | EndpointList
    | EndpointUpdate
    | RequestReceived
    | ClientDisconnected
    | RolloutUpdate
    | TallyUpdate
    | GatewayStopped
    | ResponseStarted
    | AttemptFinished
    | GossipReceived
    | ProbeFinished
    | InstanceFlagged
    | TimerElapsed
)


class Event(Struct, forbid_unknown_fields=True):
    """One event: exactly one of the fields is set, to the event's message."""

    gateway_started: GatewayStarted | None = field(name="attach", default=None)
    endpoint_list: EndpointList | None = field(name="roster", default=None)
    endpoint_update: EndpointUpdate | None = field(name="announce", default=None)
    request_received: RequestReceived | None = field(name="new_request", default=None)
    client_disconnected: ClientDisconnected | None = field(name="expired", default=None)
    rollout_update: RolloutUpdate | None = field(name="release_state", default=None)
    tally_update: TallyUpdate | None = field(name="metrics", default=None)
    gateway_stopped: GatewayStopped | None = field(name="down", default=None)
    response_started: ResponseStarted | None = field(name="first", default=None)
    attempt_finished: AttemptFinished | None = field(name="reply", default=None)
    gossip_received: GossipReceived | None = field(name="inbox", default=None)
    probe_finished: ProbeFinished | None = field(name="checked", default=None)
    instance_flagged: InstanceFlagged | None = field(name="objection", default=None)
    timer_elapsed: TimerElapsed | None = field(name="elapsed", default=None)

    def message(self) -> Message:
        """Return the event's message; raise ValueError if none or several are set."""
        values = [getattr(self, name) for name in self.__struct_fields__]
        given = [value for value in values if value is not None]
        if len(given) != 1:
            raise ValueError(f"an event must hold exactly one message, this one holds {len(given)}")
        found: Message = given[0]
        return found


MESSAGE_NAMES: dict[type[Struct], str] = {
    get_args(kind)[0]: row.encode_name
    for kind, row in zip(get_type_hints(Event).values(), fields(Event), strict=True)
}  # the simulator's name of each type of message


class Batch(Struct):
    """Events that happen at the same time of the simulator's clock."""

    clock: float
    events: list[Event] = field(name="news")
