"""A follower of relays: a gateway, or a relay that follows another region.

Decides without I/O. It follows one relay and keeps a link to a second. When the relay is lost, silent, full,
or sends what is spoilt, it goes on at the next in its order from where it is. What it takes of a relay's
messages is ruled by `acceptance.py`.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from linenbridge.distribution.dissemination.acceptance import Acceptance, Verdict, batch_spoilt, whole_spoilt
from linenbridge.distribution.changes import Position, Version
from linenbridge.distribution.decisions import Decision, Dial, Event, Disconnect, Send
from linenbridge.distribution.messages import (
    Batch,
    Digests,
    Follow,
    Progress,
    FollowRejected,
    SubtreeSummary,
    RangeSnapshot,
)
from linenbridge.distribution.dissemination.relay_selection import RelayOrder, RelayPlace

MILLISECOND, SECOND = 1_000, 1_000_000
SESSION_MOST = 1 << 53
GAPS_MOST = 3  # at one relay, one after another; then another relay is taken
REFUSED_MOST = 60 * SECOND  # for which a relay that refuses is left alone, whatever it says
LEFT_MOST = 8  # relays that are yet to be told that they were left, maybe by an earlier process of this name


@dataclass(frozen=True)
class FollowerSettings:
    """Times in microseconds, `rate` in bytes a second."""

    rate: int = 14_000  # 0: no bound
    silence: int = 2_500 * MILLISECOND  # without a word of the relay; then another is taken
    connect: int = SECOND  # until a dialled link is up
    jitter: int = 400 * MILLISECOND  # before a lost relay's followers go on at the next, each at its own time
    progress: int = 200 * MILLISECOND  # between two words on how far it is, while something changes
    heartbeat: int = SECOND  # the relay hears something at least so often
    served: int = 10 * SECOND  # after that, a relay's earlier failures are forgotten
    return_after: int = 20 * SECOND  # how long a better relay's link is up before it is gone back to
    spoilt: int = 30 * SECOND  # how long a relay that sent something spoilt is left alone
    ranges: int = 5 * SECOND  # without a part of the ranges asked for; then they are asked for again
    unknown_regions: int = 16  # regions that are followed without being named in the settings


@dataclass
class FollowerCounters:
    """What has happened since the start."""

    batches: int = 0
    changes: int = 0
    ranges: int = 0
    passed_over: int = 0
    gaps: int = 0
    spoilt: int = 0
    differed: int = 0
    refused: int = 0
    silences: int = 0
    lost: int = 0
    sessions: int = 0


class Follower:
    """`name` is the follower's own, unique and the same after a restart. `regions` are those that it wants,
    none: all. `range_digests` gives a region's range digests of the host's tables, 8 bytes each: with it, a
    catch-up behind the relay's horizon costs what differs; without it, everything."""

    def __init__(
        self, name: str, home_region: str, relays: list[RelayPlace], regions: list[str],
        positions: list[Position], settings: FollowerSettings, random: Random, now: int,
        range_digests: Callable[[str], bytes] | None = None,
    ) -> None:  # fmt: skip
        self.name, self.settings = name, settings
        self.counters = FollowerCounters()
        self.relay = ""  # the one that is followed or tried
        self.following = False
        self._spare = ""
        self._regions = list(regions)
        self._order = RelayOrder(name, home_region, relays, random)
        self._random, self._range_digests = random, range_digests
        self._acceptance = {region: Acceptance(region) for region in regions}
        for position in positions:
            self._of_region(position.region, position.version)
        self._links: dict[str, int] = {}  # those that are up, and since when
        self._dialled: set[str] = set()
        near = [relay.name for relay in relays if relay.region == home_region]
        self._left = dict.fromkeys(near[:LEFT_MOST])  # to be told that another one is followed
        self._session = self._random.randrange(1, SESSION_MOST)
        self._messages = self._unanswered = self._unanswered_before = self._gaps = 0
        self._repaired: set[str] = set()  # regions whose ranges were taken anew from this relay
        self._differed: dict[str, str] = {}  # by region, the relay whose digest was another one first
        self._begin_at = now + self._jitter()
        self._deadline: int | None = None  # for the link, then for the next word
        self._spare_deadline = now
        self._followed_at = now
        self._progress_at = now
        self._progress_due = False
        self._told_at = now
        self._below: dict[str, SubtreeSummary] = {}
        self._out: deque[Decision] = deque()

    # ---- what is known ---------------------------------------------------------------------------------

    def positions(self) -> list[Position]:
        """What the host has in force."""
        return [
            Position(region, each.applied.epoch, each.applied.sequence)
            for region, each in self._acceptance.items()
        ]

    def _taken(self) -> list[Position]:
        return [
            Position(region, each.taken.epoch, each.taken.sequence)
            for region, each in self._acceptance.items()
        ]  # fmt: skip

    def _of_region(self, region: str, version: Version | None = None) -> Acceptance | None:
        """A region's rules; regions that nobody named are bounded in number."""
        if region not in self._acceptance:
            bounded = len(self._acceptance) >= self.settings.unknown_regions
            if bounded or (self._regions and region not in self._regions):
                return None
            self._acceptance[region] = Acceptance(region)
        if version is not None:
            self._acceptance[region] = Acceptance(region, version)
        return self._acceptance[region]

    def _jitter(self) -> int:
        return self._random.randrange(self.settings.jitter + 1)

    # ---- links -----------------------------------------------------------------------------------------

    def on_link(self, now: int, relay: str, up: bool) -> None:
        """A link to a relay is up, or down."""
        if relay not in self._order:
            return
        if up:
            self._links[relay] = now
            self._say_elsewhere(relay)
        else:
            self._links.pop(relay, None)
        if relay != self.relay:
            return
        if up:
            self._follow(now)
        elif self.following:
            self.counters.lost += 1
            self._leave(now, "lost")

    def _say_elsewhere(self, relay: str) -> None:
        """Tell a relay that this follower lives and follows another one."""
        if self.following and relay != self.relay and relay in self._links:
            self._out.append(Send(relay, Progress(self.name, 0, [], [])))
            self._left.pop(relay, None)

    def _dial(self, relay: str) -> None:
        if relay not in self._dialled:
            self._dialled.add(relay)
            self._out.append(Dial(relay))

    def _hang_up(self, relay: str) -> None:
        self._links.pop(relay, None)
        if relay in self._dialled:
            self._dialled.discard(relay)
            self._out.append(Disconnect(relay))

    # ---- one relay after another -----------------------------------------------------------------------

    def _begin(self, now: int) -> None:
        """Take the first relay that is not left alone, one with a link before all others."""
        usable = self._order.next_to_try(now)
        if not usable:
            self._begin_at = max(now + 1, self._order.next_usable_at()) + self._jitter()
            return
        linked = [relay for relay in usable if relay in self._links]
        self._take(now, (linked or usable)[0])

    def _take(self, now: int, relay: str) -> None:
        self.relay, self.following = relay, False
        self._repaired.clear()
        self._gaps = 0
        if self._spare == relay:
            self._spare = ""
        self._deadline = now + self.settings.connect
        self._dial(relay)
        if relay in self._links:
            self._follow(now)

    def _follow(self, now: int) -> None:
        """Begin a session at the relay, from where this follower is."""
        self._session = self._session % SESSION_MOST + 1
        self._messages = 0
        self._unanswered_before += self._unanswered
        self._unanswered = 0
        for acceptance in self._acceptance.values():
            acceptance.on_new_session()
        self.counters.sessions += 1
        self._deadline = now + self.settings.silence
        self._followed_at = now
        follow = Follow(self.name, self._session, self._taken(), self.settings.rate, self._regions)
        self._out.append(Send(self.relay, follow))

    def _leave(self, now: int, reason: str, at_least: int = 0) -> None:
        """Go on at another relay, at a time of this follower's own."""
        relay = self.relay
        self._out.append(Event("distribution.left", {"relay": relay, "reason": reason}))
        self._order.failed(now, relay, at_least)
        self._hang_up(relay)
        if self.following:
            self._remember_left(relay)
        self.relay, self.following, self._deadline = "", False, None
        self._begin_at = now + self._jitter()

    def _remember_left(self, relay: str) -> None:
        self._left[relay] = None
        if len(self._left) > LEFT_MOST:
            del self._left[next(iter(self._left))]

    def _on_served(self, now: int) -> None:
        """The relay has sent something of this session."""
        self._deadline = now + self.settings.silence
        if not self.following:
            self.following = True
            self._left.pop(self.relay, None)
            self._progress_due = True
            self._out.append(Event("distribution.following", {"relay": self.relay}))
            for relay in [relay for relay in self._links if relay != self.relay]:
                self._say_elsewhere(relay)
        elif now - self._followed_at >= self.settings.served:
            self._order.served(self.relay)

    # ---- the second link -------------------------------------------------------------------------------

    def _keep_spare(self, now: int) -> None:
        """Keep a link to the best relay beside the one that is followed, and go back to a better one whose
        link has lasted."""
        if self._spare and self._spare not in self._links and now >= self._spare_deadline:
            spare, self._spare = self._spare, ""
            self._order.failed(now, spare)
            self._hang_up(spare)
        usable = self._order.usable(now, without=self.relay)
        best = usable[0] if usable else ""
        if best and best != self._spare and (not self._spare or self._order.better(best, self._spare)):
            self._change_spare(now, best)
        if self._should_return(now):
            self._return(now)

    def _change_spare(self, now: int, relay: str) -> None:
        if self._spare:
            self._hang_up(self._spare)
        self._spare = relay
        self._spare_deadline = now + 2 * self.settings.connect
        self._dial(relay)

    def _should_return(self, now: int) -> bool:
        spare = self._spare
        if spare not in self._links or not self._order.better(spare, self.relay):
            return False
        return now - max(self._links[spare], self._followed_at) >= self._return_after

    @property
    def _return_after(self) -> int:
        """Another time for each follower: they do not all go back at once."""
        return self.settings.return_after + self._session % (self.settings.return_after + 1)

    def _return(self, now: int) -> None:
        left, better = self.relay, self._spare
        self._hang_up(left)
        self._remember_left(left)
        self._out.append(Event("distribution.left", {"relay": left, "reason": "returned"}))
        self._take(now, better)

    # ---- messages of the relay -------------------------------------------------------------------------

    def _is_current(self, relay: str, session: int, number: int) -> bool:
        """Whether a message is the next one of this session. Older and repeated ones are passed over; one
        that is too new shows that others were lost."""
        if relay != self.relay or session != self._session or number <= self._messages:
            self.counters.passed_over += 1
            return False
        return True

    def on_batch(self, now: int, relay: str, batch: Batch) -> None:
        """Changes of one region, or a heartbeat."""
        if not self._is_current(relay, batch.session, batch.number):
            return
        acceptance = self._of_region(batch.region)
        if acceptance is None:
            self.counters.passed_over += 1
            return
        skipped = batch.number != self._messages + 1
        verdict = acceptance.judge(batch)
        if verdict is Verdict.SPOILT:
            self._on_spoilt(now, relay, batch.region, batch_spoilt(batch))
        elif skipped or verdict is Verdict.GAP:
            self._on_gap(now)
        else:
            self._messages += 1
            self._on_served(now)
            self._on_judged(now, acceptance, batch, verdict)

    def _on_judged(self, now: int, acceptance: Acceptance, batch: Batch, verdict: Verdict) -> None:
        if verdict is Verdict.TAKEN:
            self.counters.batches += 1
            self.counters.changes += len(batch.changes)
            self._unanswered += 1
            self._out.append(acceptance.take(batch))
            return
        self._progress_due = True
        compared = False
        if verdict is Verdict.HEARTBEAT:
            compared = acceptance.compare(batch)
        else:
            self.counters.passed_over += 1
        self._check(now, acceptance, compared)

    def on_whole(self, now: int, relay: str, whole: RangeSnapshot) -> None:
        """A part of a range that was asked for."""
        if not self._is_current(relay, whole.session, whole.number):
            return
        acceptance = self._of_region(whole.region)
        if acceptance is None:
            self.counters.passed_over += 1
            return
        skipped = whole.number != self._messages + 1
        verdict = acceptance.judge_whole(whole)
        if verdict is Verdict.SPOILT:
            self._on_spoilt(now, relay, whole.region, whole_spoilt(whole))
        elif skipped or verdict is Verdict.GAP:
            self._on_gap(now)
        else:
            self._messages += 1
            self._on_served(now)
            self._on_part(now, relay, acceptance, whole, verdict)

    def _on_part(
        self, now: int, relay: str, acceptance: Acceptance, whole: RangeSnapshot, verdict: Verdict
    ) -> None:
        self._progress_due = True
        if verdict is not Verdict.TAKEN:
            self.counters.passed_over += 1
            return
        replace = acceptance.take_whole(now, whole)
        if acceptance.too_large:
            self._on_spoilt(now, relay, whole.region, "a range of more bytes than any")
        elif replace is not None:
            self.counters.ranges += 1
            self._unanswered += 1
            if replace.final:
                self._repaired.add(whole.region)
            self._out.append(replace)

    def on_refused(self, now: int, relay: str, refused: FollowRejected) -> None:
        """The relay does not serve this follower, or no longer."""
        if relay == self.relay and refused.session == self._session:
            self.counters.refused += 1
            self._leave(now, refused.code, min(refused.after, REFUSED_MOST))

    def _on_gap(self, now: int) -> None:
        """Something was lost: begin a session anew from where this follower is."""
        self.counters.gaps += 1
        self._gaps += 1
        if self._gaps > GAPS_MOST:
            self._leave(now, "gaps")
        else:
            self._follow(now)

    def _on_spoilt(self, now: int, relay: str, region: str, what: str) -> None:
        """Nothing more is taken from a relay that sends other bytes than were published."""
        self.counters.spoilt += 1
        self._out.append(Event("distribution.spoilt", {"relay": relay, "region": region, "what": what}))
        self._leave(now, "spoilt", self.settings.spoilt)

    # ---- the host --------------------------------------------------------------------------------------

    def on_applied(self, now: int, region: str, upto: Version, digest: int | None) -> None:
        """The host has an `Apply` or `ReplaceRange` in force; `digest` is that of its whole table there, None
        where it is not to be compared."""
        if self._unanswered_before:
            self._unanswered_before -= 1
        elif self._unanswered:
            self._unanswered -= 1
        self._progress_due = True
        acceptance = self._acceptance[region]
        compared = acceptance.on_applied(upto, digest)
        self._check(now, acceptance, compared)

    def on_progress_below(self, now: int, summaries: list[SubtreeSummary]) -> None:
        """A relay's sums over its own followers, for those regions that it follows here."""
        for summary in summaries:
            if summary.region in self._acceptance and self._below.get(summary.region) != summary:
                self._below[summary.region] = summary
                self._progress_due = True

    def _check(self, now: int, acceptance: Acceptance, compared: bool) -> None:
        """Ask for ranges where the digest differs or the relay's changes do not reach back far enough."""
        if compared and not acceptance.differs:
            self._differed.pop(acceptance.region, None)
        if not acceptance.needs_ranges or not self.following:
            return
        asked = acceptance.transferring_at
        if asked is not None and now - asked < self.settings.ranges:
            return
        if acceptance.differs and not self._is_to_repair(now, acceptance):
            return
        self._ask_ranges(now, acceptance)

    def _is_to_repair(self, now: int, acceptance: Acceptance) -> bool:
        """The digest differs from this relay's. Either side may be wrong, and ranges of a relay that is wrong
        would make this follower so too: ranges are taken only where another relay's differed before, or
        there is no other. Where they did not help, another relay is taken."""
        region, relay = acceptance.region, self.relay
        alone = not any(other != relay for other in self._links)
        if alone and len(self._order.names) > 1 and now - self._followed_at < self.settings.ranges:
            return False  # the second link may be on its way
        self.counters.differed += 1
        self._out.append(Event("distribution.digest_differs", {"relay": relay, "region": region}))
        elsewhere = self._differed.get(region, relay) != relay
        if region not in self._repaired and (alone or elsewhere):
            return True
        self._differed[region] = relay
        self._leave(now, "digest", self.settings.spoilt)
        return False

    def _ask_ranges(self, now: int, acceptance: Acceptance) -> None:
        acceptance.transferring_at = now
        digests = self._range_digests(acceptance.region) if self._range_digests else b""
        self._out.append(
            Send(
                self.relay,
                Digests(self._session, acceptance.region, acceptance.taken, 0, digests, True),
            )
        )

    # ---- decisions -------------------------------------------------------------------------------------

    def wake_at(self) -> int:
        if not self.relay:
            return self._begin_at
        if not self.following and self._deadline is not None:
            return self._deadline
        times = [self._progress_at + self.settings.heartbeat]
        if self._progress_due:
            times.append(self._progress_at + self.settings.progress)
        if self._deadline is not None:
            times.append(self._deadline)
        return min(times)

    def next_decision(self, now: int) -> Decision | None:
        if not self._out:
            self._turn(now)
        return self._out.popleft() if self._out else None

    def _turn(self, now: int) -> None:
        if not self.relay:
            if now >= self._begin_at:
                self._begin(now)
            return
        if self._deadline is not None and now >= self._deadline:
            linked = self.relay in self._links
            self.counters.silences += linked
            self._leave(now, "silent" if linked else "no link")
            return
        self._say_progress(now)
        if self.following:
            self._keep_spare(now)

    def _say_progress(self, now: int) -> None:
        wait = self.settings.progress if self._progress_due else self.settings.heartbeat
        if not self.following or now - self._progress_at < wait:
            return
        self._progress_at, self._progress_due = now, False
        done = self._messages - self._unanswered
        below = list(self._below.values())
        self._out.append(
            Send(self.relay, Progress(self.name, self._session, self.positions(), below, done))
        )  # fmt: skip
        if now - self._told_at >= self.settings.heartbeat:
            self._told_at = now
            self._tell_left()

    def _tell_left(self) -> None:
        """Once a heartbeat: let those go that have been told, and dial the next one that has not."""
        wanted = {self.relay, self._spare, *self._left}
        for relay in [relay for relay in self._dialled if relay not in wanted]:
            self._hang_up(relay)
        if self._left:
            relay = next(iter(self._left))
            del self._left[relay]
            self._left[relay] = None
            self._dial(relay)
