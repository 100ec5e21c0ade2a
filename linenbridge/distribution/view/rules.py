"""The checked rules of one service as packed data, and the routing table that reads them without parsing.

A packed set has the index of `paths.py` and each rule encoded separately, so that a look-up decodes only the
rules that its path can match. `PackedTable` inherits `find` and `explain` of `routes.table.Table` and gives
the same results as the table of the same text.
"""

from __future__ import annotations

import zlib
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterator, Sequence
from enum import IntEnum
from typing import Any, Generic, TypeVar

import msgspec
from msgspec import Raw, Struct

from linenbridge.distribution.view.paths import PathIndex, path_index
from linenbridge.interface import Method
from linenbridge.routes import language
from linenbridge.routes.language import Condition, Not, Part, Place, Predicate, Rule, Subject, Timed
from linenbridge.routes.table import Request, Table, compiled

Item = TypeVar("Item")


class Form(IntEnum):
    """The type of a packed condition: its first item."""

    PREDICATE = 0
    NOT = 1
    ALL = 2
    ANY = 3


# Plain integers, because access to an enum member is slow.
_PREDICATE = int(Form.PREDICATE)
_NOT = int(Form.NOT)
_ALL = int(Form.ALL)

COMPRESSION_LEVEL = 6  # zlib's
NO_PLACE = Place(0, 0)  # packed rules have no position: it is needed for parse errors only
# Estimated memory (docs/CAPACITY.md, `tests/scale/measure/view.py`).
TABLE_BYTES = 1_500  # of a table
ENTRY_BYTES = 260  # of each packed rule
RULE_BYTES = 3_100  # of each compiled rule, in addition


class PackedDuration(Struct, array_like=True, frozen=True):
    """A packed `Timed`: a default in microseconds, and the subject and unit that may override it."""

    default: int
    subject: tuple[str, str] | None
    unit: str


class PackedPart(Struct, array_like=True, frozen=True):
    """A packed `Part` of a rule's tenant or key: a subject, a path segment, or a literal."""

    subject: tuple[str, str] | None
    segment: int
    literal: str | None


class PackedRule(Struct, array_like=True, frozen=True):
    """A packed `Rule`; `when` is a nested list that starts with the `Form` of the condition."""

    name: str
    when: list[Any]
    method: str
    tenant: list[PackedPart]
    key: list[PackedPart]
    latency_objective: int  # microseconds
    deadline: PackedDuration | None
    cost: PackedDuration | None
    over: tuple[str, ...]


class PackedRules(Struct, array_like=True, frozen=True):
    """All rules of a set, each encoded separately, and their index by path."""

    paths: PathIndex
    rules: list[Raw]


def pack_rules(table: Table) -> bytes:
    """Return the rules of a checked table as a compressed packed set."""
    rules = [Raw(msgspec.msgpack.encode(_pack_rule(rule))) for rule in table.rules]
    content = msgspec.msgpack.encode(PackedRules(path_index(table.rules), rules))
    packer = zlib.compressobj(COMPRESSION_LEVEL, zdict=COMPRESSION_DICTIONARY)
    return packer.compress(content) + packer.flush()


def _unpacked(packed: bytes) -> bytes:
    unpacker = zlib.decompressobj(zdict=COMPRESSION_DICTIONARY)
    return unpacker.decompress(packed) + unpacker.flush()


def _typical_rule() -> bytes:
    """Return an encoded rule with the strings that most rules have, as a compression dictionary."""
    predicate = Form.PREDICATE
    header = ("header", "x-tenant")
    has_attribute = [predicate, "attribute", "", "has", []]
    query_contains = [predicate, "query", "", "contains", [""]]
    path_is = [predicate, "path", "", "is", ["/"]]
    verb_writes = [predicate, "verb", "", "in", ["POST", "PUT"]]
    path_starts = [predicate, "path", "", "starts", ["/api/v1/"]]
    verb_reads = [predicate, "verb", "", "in", ["GET", "HEAD"]]
    when = [
        Form.NOT,
        [Form.ANY, has_attribute, query_contains],
        [predicate, "authority", "", "ends", [""]],
        [predicate, "header", "x-", "matches", [""]],
        [Form.ALL, path_is, verb_writes],
        [Form.ALL, path_starts, verb_reads, [predicate, "header", "x-", "is", [""]]],
    ]
    rule = PackedRule(
        name="route-1",
        when=when,
        method="read",
        tenant=[PackedPart(header, 0, None), PackedPart(None, 0, "none")],
        key=[PackedPart(None, 2, None), PackedPart(("header", "x-request-id"), 0, None)],
        latency_objective=250_000,
        deadline=PackedDuration(2_000_000, ("header", "grpc-timeout"), "grpc"),
        cost=PackedDuration(3_000, ("query", "limit"), "ms"),
        over=(),
    )
    return msgspec.msgpack.encode(rule)


# Part of the format of the store: a change requires another `view_store.FORMAT_VERSION`.
COMPRESSION_DICTIONARY = _typical_rule()


def _pack_rule(rule: Rule) -> PackedRule:
    return PackedRule(
        name=rule.name,
        when=_pack_condition(rule.when),
        method=rule.method,
        tenant=[_pack_part(part) for part in rule.tenant],
        key=[_pack_part(part) for part in rule.key],
        latency_objective=rule.latency_objective,
        deadline=_pack_duration(rule.deadline),
        cost=_pack_duration(rule.cost),
        over=rule.over,
    )


def _pack_condition(condition: Condition) -> list[Any]:
    match condition:
        case Predicate(subject, operator, operands):
            return [Form.PREDICATE, subject.kind, subject.name, operator, operands]
        case Not(part):
            return [Form.NOT, _pack_condition(part)]
        case language.All(parts):
            return [Form.ALL, *map(_pack_condition, parts)]
        case language.Any(parts):
            return [Form.ANY, *map(_pack_condition, parts)]
    raise AssertionError(condition)


def _pack_part(part: Part) -> PackedPart:
    return PackedPart(_pack_subject(part.subject), part.segment, part.literal)


def _pack_duration(timed: Timed | None) -> PackedDuration | None:
    return None if timed is None else PackedDuration(timed.default, _pack_subject(timed.subject), timed.unit)


def _pack_subject(subject: Subject | None) -> tuple[str, str] | None:
    return None if subject is None else (subject.kind, subject.name)


def _read_rule(packed: Raw) -> Rule:
    found = msgspec.msgpack.decode(packed, type=PackedRule)
    return Rule(
        name=found.name,
        place=NO_PLACE,
        when=_read_condition(found.when),
        method=found.method,
        tenant=tuple(map(_read_part, found.tenant)),
        key=tuple(map(_read_part, found.key)),
        latency_objective=found.latency_objective,
        deadline=_read_duration(found.deadline),
        cost=_read_duration(found.cost),
        over=found.over,
    )


def _read_condition(packed: list[Any]) -> Condition:
    form, *rest = packed
    if form == _PREDICATE:
        kind, name, operator, operands = rest
        return Predicate(Subject(kind, name), operator, tuple(operands))
    if form == _NOT:
        return Not(_read_condition(rest[0]))
    parts = tuple(map(_read_condition, rest))
    return language.All(parts) if form == _ALL else language.Any(parts)


def _read_part(packed: PackedPart) -> Part:
    return Part(_read_subject(packed.subject), packed.segment, packed.literal)


def _read_duration(packed: PackedDuration | None) -> Timed | None:
    return None if packed is None else Timed(packed.default, _read_subject(packed.subject), packed.unit)


def _read_subject(packed: tuple[str, str] | None) -> Subject | None:
    return None if packed is None else Subject(*packed)


class _LazySequence(Sequence[Item], ABC, Generic[Item]):
    """A sequence whose items are made at their first use."""

    def __init__(self, length: int) -> None:
        self.items: list[Item | None] = [None] * length

    @abstractmethod
    def make(self, number: int) -> Item:
        """Return the item of that number."""

    def __len__(self) -> int:
        return len(self.items)

    def __getitem__(self, number: Any) -> Any:
        item = self.items[number]
        if item is None:
            item = self.make(number)
            self.items[number] = item
        return item

    def __iter__(self) -> Iterator[Item]:
        return (self[number] for number in range(len(self.items)))


class PackedRuleList(_LazySequence[Rule]):
    """The rules of a set, each read at its first use; `cost` is their estimated memory, in bytes."""

    def __init__(self, packed: list[Raw], on_rule_compiled: Callable[[PackedRuleList], None] | None) -> None:
        """Start with no rule read; `on_rule_compiled` is called for each rule that is read."""
        super().__init__(len(packed))
        self.packed = packed
        self.on_rule_compiled = on_rule_compiled
        self.cost = ENTRY_BYTES * len(packed)

    def make(self, number: int) -> Rule:
        """Read a rule and add its memory to `cost`."""
        self.cost += RULE_BYTES
        if self.on_rule_compiled is not None:
            self.on_rule_compiled(self)
        return _read_rule(self.packed[number])


class _Conditions(_LazySequence[Callable[[Request], bool]]):
    """The conditions of the rules, each compiled at its first use."""

    def __init__(self, rules: PackedRuleList) -> None:
        super().__init__(len(rules))
        self.rules = rules

    def make(self, number: int) -> Callable[[Request], bool]:
        """Compile the condition of a rule."""
        return compiled(self.rules[number].when)


class PackedTable(Table):
    """The routing table of one service, which reads the rules of a packed set at their first use.

    The table is in no reference cycle, so its memory is freed with its last reference.
    """

    rules: PackedRuleList

    def __init__(
        self,
        packed: bytes,
        methods: dict[str, Method],
        max_deadline: int,
        on_rule_compiled: Callable[[PackedRuleList], None] | None = None,
    ) -> None:
        """Unpack the index of a set; `max_deadline` is the longest deadline of a route, in microseconds."""
        content = _unpacked(packed)
        found = msgspec.msgpack.decode(content, type=PackedRules)
        self.methods = methods
        self.max_deadline = max_deadline
        self.paths = found.paths
        self.rules = PackedRuleList(found.rules, on_rule_compiled)
        self.conditions = _Conditions(self.rules)
        self.fixed_cost = TABLE_BYTES + len(content)

    @property
    def cost(self) -> int:
        """Return the estimated memory of the table, in bytes."""
        return self.fixed_cost + self.rules.cost

    def _candidates(self, request: Request) -> Sequence[int]:
        return self.paths.candidates(request.segments)
