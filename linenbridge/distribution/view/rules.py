"""Checked rules of one service, packed as data, and the routing table read from them without parsing again.

Decides without I/O. A packed set holds which rules a path can meet, and each rule alone, so that a look-up
in a set that is not unpacked yet reads a few of its rules only. It must never differ from
`routes.table.Table` for the same text: it finds and explains by the same code.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable, Iterator, Sequence
from typing import Any

import msgspec
from msgspec import Raw, Struct

from linenbridge.distribution.view.paths import PathIndex, path_index
from linenbridge.interface import Method
from linenbridge.routes import language
from linenbridge.routes.language import Condition, Not, Part, Place, Question, Rule, Subject, Timed
from linenbridge.routes.table import Request, Table, compiled

QUESTION, NOT, ALL, ANY = range(4)
COMPRESSION_LEVEL = 6  # of compression
NOWHERE = Place(0, 0)  # Places are for errors; packed rules have none.
# Bytes in memory, measured: of a table, of each of its rules while packed, and of each one compiled.
TABLE_BYTES, ENTRY_BYTES, RULE_BYTES = 1_500, 260, 3_100


class PackedDuration(Struct, array_like=True, frozen=True):
    default: int
    subject: tuple[str, str] | None
    unit: str


class PackedPart(Struct, array_like=True, frozen=True):
    subject: tuple[str, str] | None
    segment: int
    literal: str | None


class PackedRule(Struct, array_like=True, frozen=True):
    """One rule; `when` is a nested list that starts with the number of the condition's form."""

    name: str
    when: list[Any]
    method: str
    tenant: list[PackedPart]
    key: list[PackedPart]
    soft: int
    deadline: PackedDuration | None
    cost: PackedDuration | None
    over: tuple[str, ...]


class PackedRules(Struct, array_like=True, frozen=True):
    """All rules of a set, and which of them a path can meet."""

    paths: PathIndex
    rules: list[Raw]


def pack_rules(table: Table) -> bytes:
    """A checked table as bytes."""
    rules = [Raw(msgspec.msgpack.encode(_pack_rule(rule))) for rule in table.rules]
    content = msgspec.msgpack.encode(PackedRules(path_index(table.rules), rules))
    packer = zlib.compressobj(COMPRESSION_LEVEL, zdict=COMPRESSION_DICTIONARY)
    return packer.compress(content) + packer.flush()


def _unpacked(packed: bytes) -> bytes:
    unpacker = zlib.decompressobj(zdict=COMPRESSION_DICTIONARY)
    return unpacker.decompress(packed) + unpacker.flush()


def _typical_rule() -> bytes:
    """A packed rule with the words that most rules have: what a set repeats of it takes no room."""
    header, query = ("header", "x-tenant"), ("query", "limit")
    when = [
        NOT, [ANY, [QUESTION, "attribute", "", "has", []], [QUESTION, "query", "", "contains", [""]]],
        [QUESTION, "authority", "", "ends", [""]], [QUESTION, "header", "x-", "matches", [""]],
        [ALL, [QUESTION, "path", "", "is", ["/"]], [QUESTION, "verb", "", "in", ["POST", "PUT"]]],
        [ALL, [QUESTION, "path", "", "starts", ["/api/v1/"]], [QUESTION, "verb", "", "in", ["GET", "HEAD"]],
         [QUESTION, "header", "x-", "is", [""]]],
    ]  # fmt: skip
    rule = PackedRule(
        "route-1", when, "read", [PackedPart(header, 0, None), PackedPart(None, 0, "none")],
        [PackedPart(None, 2, None), PackedPart(("header", "x-request-id"), 0, None)], 250_000,
        PackedDuration(2_000_000, ("header", "grpc-timeout"), "grpc"), PackedDuration(3_000, query, "ms"), (),
    )  # fmt: skip
    return msgspec.msgpack.encode(rule)


COMPRESSION_DICTIONARY = _typical_rule()  # Part of the store's form: another one needs another `store.FORM`.


def _pack_rule(rule: Rule) -> PackedRule:
    return PackedRule(
        rule.name, _pack_condition(rule.when), rule.method, [_pack_part(part) for part in rule.tenant],
        [_pack_part(part) for part in rule.key], rule.soft, _pack_duration(rule.deadline),
        _pack_duration(rule.cost), rule.over,
    )  # fmt: skip


def _pack_condition(condition: Condition) -> list[Any]:
    match condition:
        case Question(subject, operator, words):
            return [QUESTION, subject.kind, subject.name, operator, words]
        case Not(part):
            return [NOT, _pack_condition(part)]
        case language.All(parts):
            return [ALL, *map(_pack_condition, parts)]
        case language.Any(parts):
            return [ANY, *map(_pack_condition, parts)]
    raise AssertionError(condition)


def _pack_part(part: Part) -> PackedPart:
    return PackedPart(_pack_subject(part.subject), part.segment, part.word)


def _pack_duration(timed: Timed | None) -> PackedDuration | None:
    return None if timed is None else PackedDuration(timed.default, _pack_subject(timed.subject), timed.unit)


def _pack_subject(subject: Subject | None) -> tuple[str, str] | None:
    return None if subject is None else (subject.kind, subject.name)


def _read_rule(packed: Raw) -> Rule:
    found = msgspec.msgpack.decode(packed, type=PackedRule)
    return Rule(
        name=found.name, place=NOWHERE, when=_read_condition(found.when), method=found.method,
        tenant=tuple(map(_read_part, found.tenant)), key=tuple(map(_read_part, found.key)),
        soft=found.soft, deadline=_read_duration(found.deadline), cost=_read_duration(found.cost),
        over=found.over,
    )  # fmt: skip


def _read_condition(packed: list[Any]) -> Condition:
    form, *rest = packed
    if form == QUESTION:
        kind, name, operator, words = rest
        return Question(Subject(kind, name), operator, tuple(words))
    if form == NOT:
        return Not(_read_condition(rest[0]))
    parts = tuple(map(_read_condition, rest))
    return language.All(parts) if form == ALL else language.Any(parts)


def _read_part(packed: PackedPart) -> Part:
    return Part(_read_subject(packed.subject), packed.segment, packed.literal)


def _read_duration(packed: PackedDuration | None) -> Timed | None:
    return None if packed is None else Timed(packed.default, _read_subject(packed.subject), packed.unit)


def _read_subject(packed: tuple[str, str] | None) -> Subject | None:
    return None if packed is None else Subject(*packed)


class _LazySequence(Sequence):
    """A list whose items are made when first asked for."""

    def __init__(self, length: int) -> None:
        self.items: list[Any] = [None] * length

    def make(self, number: int) -> Any:
        raise NotImplementedError

    def __len__(self) -> int:
        return len(self.items)

    def __getitem__(self, number: Any) -> Any:
        item = self.items[number]
        if item is None:
            item = self.items[number] = self.make(number)
        return item

    def __iter__(self) -> Iterator[Any]:
        return (self[number] for number in range(len(self.items)))


class PackedRuleList(_LazySequence):
    """The rules of a set. Calls `on_rule_compiled` with each one read; `cost` is what they take in memory."""

    def __init__(self, packed: list[Raw], on_rule_compiled: Callable[[PackedRuleList], None] | None) -> None:
        super().__init__(len(packed))
        self.packed, self.on_rule_compiled = packed, on_rule_compiled
        self.cost = ENTRY_BYTES * len(packed)

    def make(self, number: int) -> Rule:
        self.cost += RULE_BYTES
        if self.on_rule_compiled is not None:
            self.on_rule_compiled(self)
        return _read_rule(self.packed[number])


class _Conditions(_LazySequence):
    """The rules' conditions, compiled."""

    def __init__(self, rules: PackedRuleList) -> None:
        super().__init__(len(rules))
        self.rules = rules

    def make(self, number: int) -> Callable[[Request], bool]:
        return compiled(self.rules[number].when)


class PackedTable(Table):
    """The routing table of one service, read from a packed set rule by rule as requests need them. Nothing in
    it refers back to it: once it is let go, its memory is free at once."""

    def __init__(
        self, packed: bytes, methods: dict[str, Method], max_deadline: int,
        on_rule_compiled: Callable[[PackedRuleList], None] | None = None,
    ) -> None:  # fmt: skip
        content = _unpacked(packed)
        found = msgspec.msgpack.decode(content, type=PackedRules)
        self.methods, self.longest, self.paths = methods, max_deadline, found.paths
        self.rules = PackedRuleList(found.rules, on_rule_compiled)
        self.conditions = _Conditions(self.rules)
        self.fixed_cost = TABLE_BYTES + len(content)

    @property
    def cost(self) -> int:
        """Bytes in memory, estimated."""
        return self.fixed_cost + self.rules.cost

    def _candidates(self, request: Request) -> Sequence[int]:
        return self.paths.candidates(request.segments)
