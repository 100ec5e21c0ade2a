"""A follower of relays: a gateway, or a relay that follows another region.

Decides without I/O. It follows one relay and keeps a link to a second. When the relay is lost, silent, full,
or sends what is spoilt, it goes on at the next in its order from where it is. What it takes of a relay's
messages is ruled by `acceptance.py`.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from random import Random

from linenbridge.distribution.changes import Position, Version
from linenbridge.distribution.decisions import Decision, Event, Send
from linenbridge.distribution.dissemination.acceptance import Acceptance, Acceptances, Verdict, spoilt
from linenbridge.distribution.dissemination.counters import FollowerCounters
from linenbridge.distribution.dissemination.digest_repair import DigestRepair
from linenbridge.distribution.dissemination.relay_links import LeftRelays, RelayLinks
from linenbridge.distribution.dissemination.relay_selection import RelayOrder, RelayPlace
from linenbridge.distribution.dissemination.settings import SECOND, FollowerSettings
from linenbridge.distribution.dissemination.spare_link import SpareLink
from linenbridge.distribution.messages import Batch, Digests, Follow, Progress, Refused, Summary, Whole

SESSION_MOST = 1 << 53
GAPS_MOST = 3  # at one relay, one after another; then another relay is taken
REFUSED_MOST = 60 * SECOND  # for which a relay that refuses is left alone, whatever it says


class Follower:
    """`name` is the follower's own, unique and the same after a restart. `regions` are those that it wants,
    none: all. `range_digests` gives a region's range digests of the host's tables, 8 bytes each: with it, a
    catch-up behind the relay's horizon costs what differs; without it, everything."""

    def __init__(
        self,
        name: str,
        home_region: str,
        relays: list[RelayPlace],
        regions: list[str],
        positions: list[Position],
        settings: FollowerSettings,
        random: Random,
        now: int,
        range_digests: Callable[[str], bytes] | None = None,
    ) -> None:
        self.name = name
        self.settings = settings
        self.counters = FollowerCounters()
        self.relay = ""  # the one that is followed or tried
        self.following = False
        self._regions = list(regions)
        self._random = random
        self._range_digests = range_digests
        self._acceptances = Acceptances(regions, positions, settings.unknown_regions)
        self._out: deque[Decision] = deque()
        self._order = RelayOrder(name, home_region, relays, random)
        self._links = RelayLinks(self._out)
        self._spare = SpareLink(self._order, self._links, settings, now)
        self._left = LeftRelays([relay.name for relay in relays if relay.region == home_region])
        self._repair = DigestRepair()
        self._session = self._random.randrange(1, SESSION_MOST)
        self._messages = 0  # of the session
        self._unanswered = 0  # of the session's messages, those that the host has yet to put in force
        self._unanswered_before = 0  # the same of earlier sessions
        self._gaps = 0
        self._begin_at = now + self._jitter()
        self._deadline: int | None = None  # for the link, then for the next word
        self._followed_at = now
        self._progress_at = now
        self._progress_due = False
        self._told_at = now
        self._below: dict[str, Summary] = {}

    # ---- what is known ---------------------------------------------------------------------------------

    def positions(self) -> list[Position]:
        """What the host has in force."""
        return self._acceptances.applied()

    def _jitter(self) -> int:
        return self._random.randrange(self.settings.jitter + 1)

    # ---- links -----------------------------------------------------------------------------------------

    def on_link(self, now: int, relay: str, up: bool) -> None:
        """A link to a relay is up, or down."""
        if relay not in self._order:
            return
        if up:
            self._links.up[relay] = now
            self._say_elsewhere(relay)
        else:
            self._links.up.pop(relay, None)
        if relay != self.relay:
            return
        if up:
            self._follow(now)
        elif self.following:
            self.counters.lost += 1
            self._leave(now, "lost")

    def _say_elsewhere(self, relay: str) -> None:
        """Tell a relay that this follower lives and follows another one."""
        if self.following and relay != self.relay and relay in self._links.up:
            self._out.append(Send(relay, Progress(self.name, 0, [], [])))
            self._left.discard(relay)

    # ---- one relay after another -----------------------------------------------------------------------

    def _begin(self, now: int) -> None:
        """Take the first relay that is not left alone, one with a link before all others."""
        usable = self._order.next_to_try(now)
        if not usable:
            self._begin_at = max(now + 1, self._order.next_usable_at()) + self._jitter()
            return
        linked = [relay for relay in usable if relay in self._links.up]
        self._take(now, (linked or usable)[0])

    def _take(self, now: int, relay: str) -> None:
        self.relay = relay
        self.following = False
        self._repair.on_new_relay()
        self._gaps = 0
        self._spare.release(relay)
        self._deadline = now + self.settings.connect
        self._links.dial(relay)
        if relay in self._links.up:
            self._follow(now)

    def _follow(self, now: int) -> None:
        """Begin a session at the relay, from where this follower is."""
        self._session = self._session % SESSION_MOST + 1
        self._messages = 0
        self._unanswered_before += self._unanswered
        self._unanswered = 0
        self._acceptances.on_new_session()
        self.counters.sessions += 1
        self._deadline = now + self.settings.silence
        self._followed_at = now
        follow = Follow(
            self.name, self._session, self._acceptances.taken(), self.settings.rate, self._regions
        )
        self._out.append(Send(self.relay, follow))

    def _leave(self, now: int, reason: str, at_least: int = 0) -> None:
        """Go on at another relay, at a time of this follower's own."""
        relay = self.relay
        self._out.append(Event("distribution.left", {"relay": relay, "reason": reason}))
        self._order.failed(now, relay, at_least)
        self._links.hang_up(relay)
        if self.following:
            self._left.add(relay)
        self.relay = ""
        self.following = False
        self._deadline = None
        self._begin_at = now + self._jitter()

    def _on_served(self, now: int) -> None:
        """The relay has sent something of this session."""
        self._deadline = now + self.settings.silence
        if not self.following:
            self.following = True
            self._left.discard(self.relay)
            self._progress_due = True
            self._out.append(Event("distribution.following", {"relay": self.relay}))
            for relay in [relay for relay in self._links.up if relay != self.relay]:
                self._say_elsewhere(relay)
        elif now - self._followed_at >= self.settings.served:
            self._order.served(self.relay)

    def _return(self, now: int) -> None:
        """Go back to the better relay that the second link goes to."""
        left = self.relay
        self._links.hang_up(left)
        self._left.add(left)
        self._out.append(Event("distribution.left", {"relay": left, "reason": "returned"}))
        self._take(now, self._spare.relay)

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
        self._on_content(now, relay, batch)

    def on_whole(self, now: int, relay: str, whole: Whole) -> None:
        """A part of a range that was asked for."""
        self._on_content(now, relay, whole)

    def _on_content(self, now: int, relay: str, message: Batch | Whole) -> None:
        if not self._is_current(relay, message.session, message.number):
            return
        acceptance = self._acceptances.of_region(message.region)
        if acceptance is None:
            self.counters.passed_over += 1
            return
        skipped = message.number != self._messages + 1
        verdict = acceptance.judge(message)
        if verdict is Verdict.SPOILT:
            self._on_spoilt(now, relay, message.region, spoilt(message))
        elif skipped or verdict is Verdict.GAP:
            self._on_gap(now)
        else:
            self._messages += 1
            self._on_served(now)
            if isinstance(message, Batch):
                self._on_judged_batch(now, acceptance, message, verdict)
            else:
                self._on_judged_part(now, relay, acceptance, message, verdict)

    def _on_judged_batch(self, now: int, acceptance: Acceptance, batch: Batch, verdict: Verdict) -> None:
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

    def _on_judged_part(
        self, now: int, relay: str, acceptance: Acceptance, whole: Whole, verdict: Verdict
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
                self._repair.on_repaired(whole.region)
            self._out.append(replace)

    def on_refused(self, now: int, relay: str, refused: Refused) -> None:
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
        acceptance = self._acceptances[region]
        compared = acceptance.on_applied(upto, digest)
        self._check(now, acceptance, compared)

    def on_progress_below(self, now: int, summaries: list[Summary]) -> None:
        """A relay's sums over its own followers, for those regions that it follows here."""
        for summary in summaries:
            if summary.region in self._acceptances and self._below.get(summary.region) != summary:
                self._below[summary.region] = summary
                self._progress_due = True

    def _check(self, now: int, acceptance: Acceptance, compared: bool) -> None:
        """Ask for ranges where the digest differs or the relay's changes do not reach back far enough."""
        if compared and not acceptance.differs:
            self._repair.on_equal(acceptance.region)
        if not acceptance.needs_ranges or not self.following:
            return
        asked = acceptance.transferring_at
        if asked is not None and now - asked < self.settings.ranges:
            return
        if acceptance.differs and not self._is_to_repair(now, acceptance):
            return
        self._ask_ranges(now, acceptance)

    def _is_to_repair(self, now: int, acceptance: Acceptance) -> bool:
        """Whether ranges are to be taken from this relay, whose digest differs; it is left where another one
        is to be compared first."""
        region = acceptance.region
        relay = self.relay
        alone = not any(other != relay for other in self._links.up)
        if alone and len(self._order.names) > 1 and now - self._followed_at < self.settings.ranges:
            return False  # the second link may be on its way
        self.counters.differed += 1
        self._out.append(Event("distribution.digest_differs", {"relay": relay, "region": region}))
        if self._repair.may_repair(region, relay, alone):
            return True
        self._leave(now, "digest", self.settings.spoilt)
        return False

    def _ask_ranges(self, now: int, acceptance: Acceptance) -> None:
        acceptance.transferring_at = now
        digests = self._range_digests(acceptance.region) if self._range_digests else b""
        request = Digests(
            self._session, acceptance.region, acceptance.taken, first=0, digests=digests, last=True
        )
        self._out.append(Send(self.relay, request))

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
            linked = self.relay in self._links.up
            self.counters.silences += linked
            self._leave(now, "silent" if linked else "no link")
            return
        self._say_progress(now)
        if self.following:
            self._spare.update(now, self.relay)
            if self._spare.better_than(now, self.relay, self._followed_at, self._session):
                self._return(now)

    def _say_progress(self, now: int) -> None:
        wait = self.settings.progress if self._progress_due else self.settings.heartbeat
        if not self.following or now - self._progress_at < wait:
            return
        self._progress_at = now
        self._progress_due = False
        done = self._messages - self._unanswered
        below = list(self._below.values())
        progress = Progress(self.name, self._session, self.positions(), below, done)
        self._out.append(Send(self.relay, progress))
        if now - self._told_at >= self.settings.heartbeat:
            self._told_at = now
            self._tell_left()

    def _tell_left(self) -> None:
        """Once a heartbeat: let those go that have been told, and dial the next one that has not."""
        self._links.hang_up_others({self.relay, self._spare.relay, *self._left})
        relay = self._left.next()
        if relay is not None:
            self._links.dial(relay)
