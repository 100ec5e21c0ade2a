"""The wire's messages as msgspec types: what is malformed fails here with the name of the field."""

from __future__ import annotations

from typing import Any, Literal

from msgspec import Struct

from linenbridge.startup import Info


class Row(Struct):
    instance: int
    edition: int
    health: Literal[0, 1, 2]
    rack_zone: str = ""
    block: int = 0
    power_hint: float = 1.0
    since: float = 0.0


class Roster(Struct):
    bank: int
    rows: list[Row]


class Attach(Struct):
    gateway_id: int
    random_seed: int
    info: Info


class Announce(Struct):
    gateway_id: int
    form: Literal[0, 1, 2, 3]
    bank: int = -1


class NewRequest(Struct):
    gateway_id: int
    handle: str
    ttl: float
    profile: str
    realm: str | int = ""
    estimate: float | None = None
    subject: int | None = None


class Expired(Struct):
    gateway_id: int
    handle: str


class ReleaseState(Struct):
    gateway_id: int
    outcome: Literal["S", "N", "F", "E", "T"]
    code: int = 0
    rel: int = 0
    wave: int = 0
    course: Literal[0, 1, 2, 3] = 0
    limit_share: float = 0.0


class Metrics(Struct):
    gateway_id: int
    rel: int
    profile: str
    n: int = 0
    lost: int = 0
    delay_seen: float = 0.0
    since: float = 0.0


class Down(Struct):
    gateway_id: int


class First(Struct):
    gateway_id: int
    handle: str
    hop: int = 0


class Reply(Struct):
    gateway_id: int
    handle: str
    outcome: Literal["S", "E", "F", "T", "C", "R", "X", "N"]
    hop: int = 0
    final: bool = False
    delay_seen: float = 0.0
    feedback: dict[str, float] = {}


class Inbox(Struct):
    gateway_id: int
    src: int
    contents: str = ""


class Checked(Struct):
    gateway_id: int


class Objection(Struct):
    gateway_id: int
    instance: int
    profile: str


class Elapsed(Struct):
    gateway_id: int
    mark: str


class News(Struct, forbid_unknown_fields=True):
    """One event; exactly one of these is given."""

    attach: Attach | None = None
    roster: Roster | None = None
    announce: Announce | None = None
    new_request: NewRequest | None = None
    expired: Expired | None = None
    release_state: ReleaseState | None = None
    metrics: Metrics | None = None
    down: Down | None = None
    first: First | None = None
    reply: Reply | None = None
    inbox: Inbox | None = None
    checked: Checked | None = None
    objection: Objection | None = None
    elapsed: Elapsed | None = None

    def only(self) -> tuple[str, Any]:
        given = [(name, getattr(self, name)) for name in self.__struct_fields__]
        given = [pair for pair in given if pair[1] is not None]
        if len(given) != 1:
            raise ValueError(f"an event must hold exactly one message, this one holds {len(given)}")
        return given[0]


class Batch(Struct):
    clock: float
    news: list[News]
