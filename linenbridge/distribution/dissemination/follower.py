"""A follower of relays, as part of a gateway or of a relay that follows another region.

The follower decides without I/O. It follows one relay and keeps a standby link to a second one. If the relay
is lost, silent or full, or sends a malformed message, the follower continues at its position with the next
relay in its order. `acceptance.py` has the rules for accepting messages.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from random import Random

from linenbridge.distribution.changes import Position, Version
from linenbridge.distribution.decisions import Decision, Event, Send
from linenbridge.distribution.dissemination.acceptance import Acceptance, Acceptances, Verdict, defect
from linenbridge.distribution.dissemination.counters import FollowerCounters
from linenbridge.distribution.dissemination.digest_repair import DigestRepair
from linenbridge.distribution.dissemination.relay_links import LeftRelays, RelayLinks
from linenbridge.distribution.dissemination.relay_selection import RelayLocation, RelayOrder
from linenbridge.distribution.dissemination.settings import SECOND, FollowerSettings
from linenbridge.distribution.dissemination.standby_link import StandbyLink
from linenbridge.distribution.messages import (
    Batch,
    Digests,
    Follow,
    Progress,
    FollowRejected,
    SubtreeSummary,
    RangeSnapshot,
)

MAX_SESSION = 1 << 53  # every decoder represents integers up to this one exactly
MAX_GAPS = 3  # allowed at one relay before another one is followed
MAX_REJECTION_WAIT = 60 * SECOND  # microseconds before the relay is tried again


class Follower:
    """A follower of relays. Its `name` is unique and the same after a restart.

    `regions` are the regions to follow; an empty list means all. `positions` are the positions of the host's
    tables. `range_digests` returns the digests of a region's ranges in the host's tables, 8 bytes each: with
    this function a catch-up from behind the relay's horizon transfers only the ranges that differ, without it
    all ranges. `relay` is the relay that is followed or tried, or an empty string. Times are in microseconds.
    A host calls the `on_...` methods with its inputs, then `next_decision` until that returns None, and
    `next_decision` again at `wake_at`.
    """

    def __init__(
        self,
        name: str,
        home_region: str,
        relays: list[RelayLocation],
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
        self.relay = ""
        self.following = False
        self._regions = list(regions)
        self._random = random
        self._range_digests = range_digests
        self._acceptances = Acceptances(regions, positions, settings.max_unknown_regions)
        self._decisions: deque[Decision] = deque()
        self._order = RelayOrder(name, home_region, relays, random)
        self._links = RelayLinks(self._decisions)
        self._standby = StandbyLink(self._order, self._links, settings, now)
        self._left_relays = LeftRelays([relay.name for relay in relays if relay.region == home_region])
        self._repair = DigestRepair()
        self._session = self._random.randrange(1, MAX_SESSION)
        self._messages = 0  # of the session
        self._unapplied = 0  # messages of the session that the host has not yet put in force
        self._unapplied_before = 0  # messages of earlier sessions that it has not yet put in force
        self._gaps = 0
        self._next_try_at = now + self._jitter()
        self._deadline: int | None = None  # for the link to connect, then for the next message
        self._followed_at = now
        self._progress_at = now
        self._progress_due = False
        self._notified_at = now
        self._below: dict[str, SubtreeSummary] = {}

    # ---- state -----------------------------------------------------------------------------------------

    def positions(self) -> list[Position]:
        """Return the positions up to which the host has put changes in force."""
        return self._acceptances.applied()

    def _jitter(self) -> int:
        return self._random.randrange(self.settings.jitter + 1)

    # ---- links -----------------------------------------------------------------------------------------

    def on_link(self, now: int, relay: str, *, connected: bool) -> None:
        """Record that the link to a relay is connected or lost."""
        if relay not in self._order:
            return
        if connected:
            self._links.connected_at[relay] = now
            self._notify_elsewhere(relay)
        else:
            self._links.connected_at.pop(relay, None)
        if relay != self.relay:
            return
        if connected:
            self._follow(now)
        elif self.following:
            self.counters.lost += 1
            self._leave(now, "lost")

    def _notify_elsewhere(self, relay: str) -> None:
        """Notify a connected relay that this follower follows another one."""
        if self.following and relay != self.relay and relay in self._links.connected_at:
            self._decisions.append(Send(relay, Progress(self.name, 0, [], [])))
            self._left_relays.discard(relay)

    # ---- the followed relay ----------------------------------------------------------------------------

    def _try_next_relay(self, now: int) -> None:
        """Follow the first usable relay, or the first connected one if any is connected."""
        usable = self._order.next_to_try(now)
        if not usable:
            self._next_try_at = max(now + 1, self._order.next_usable_at()) + self._jitter()
            return
        linked = [relay for relay in usable if relay in self._links.connected_at]
        self._switch_to(now, (linked or usable)[0])

    def _switch_to(self, now: int, relay: str) -> None:
        self.relay = relay
        self.following = False
        self._repair.on_new_relay()
        self._gaps = 0
        self._standby.release(relay)
        self._deadline = now + self.settings.connect_timeout
        self._links.connect(relay)
        if relay in self._links.connected_at:
            self._follow(now)

    def _follow(self, now: int) -> None:
        """Begin a session with the relay at this follower's position."""
        self._session = self._session % MAX_SESSION + 1
        self._messages = 0
        self._unapplied_before += self._unapplied
        self._unapplied = 0
        self._acceptances.on_new_session()
        self.counters.sessions += 1
        self._deadline = now + self.settings.relay_timeout
        self._followed_at = now
        follow = Follow(
            self.name, self._session, self._acceptances.accepted(), self.settings.rate, self._regions
        )
        self._decisions.append(Send(self.relay, follow))

    def _leave(self, now: int, reason: str, min_wait: int = 0) -> None:
        """Leave the relay. The next one is tried after a random delay."""
        relay = self.relay
        self._decisions.append(Event("distribution.left", {"relay": relay, "reason": reason}))
        self._order.on_failed(now, relay, min_wait)
        self._links.disconnect(relay)
        if self.following:
            self._left_relays.add(relay)
        self.relay = ""
        self.following = False
        self._deadline = None
        self._next_try_at = now + self._jitter()

    def _on_served(self, now: int) -> None:
        """Record that the relay has sent a valid message of this session."""
        self._deadline = now + self.settings.relay_timeout
        if not self.following:
            self.following = True
            self._left_relays.discard(self.relay)
            self._progress_due = True
            self._decisions.append(Event("distribution.following", {"relay": self.relay}))
            for relay in [relay for relay in self._links.connected_at if relay != self.relay]:
                self._notify_elsewhere(relay)
        elif now - self._followed_at >= self.settings.backoff_reset_after:
            self._order.on_served(self.relay)

    def _fail_back(self, now: int) -> None:
        """Follow the preferred relay, to which the standby link goes."""
        left = self.relay
        self._links.disconnect(left)
        self._left_relays.add(left)
        self._decisions.append(Event("distribution.left", {"relay": left, "reason": "returned"}))
        self._switch_to(now, self._standby.relay)

    # ---- messages from the relay ------------------------------------------------------------------------

    def _is_current(self, relay: str, session: int, number: int) -> bool:
        """Return whether a message is a new one of the current session and relay; others are counted as
        ignored. A number that skips others shows that messages were lost, which the caller checks."""
        if relay != self.relay or session != self._session or number <= self._messages:
            self.counters.ignored += 1
            return False
        return True

    def on_batch(self, now: int, relay: str, batch: Batch) -> None:
        """Receive changes of one region, or a heartbeat."""
        self._on_content(now, relay, batch)

    def on_range_snapshot(self, now: int, relay: str, snapshot: RangeSnapshot) -> None:
        """Receive a part of a requested range."""
        self._on_content(now, relay, snapshot)

    def _on_content(self, now: int, relay: str, message: Batch | RangeSnapshot) -> None:
        if not self._is_current(relay, message.session, message.number):
            return
        acceptance = self._acceptances.of_region(message.region)
        if acceptance is None:
            self.counters.ignored += 1
            return
        skipped = message.number != self._messages + 1
        verdict = acceptance.classify(message)
        if verdict is Verdict.MALFORMED:
            self._on_malformed(now, relay, message.region, defect(message))
        elif skipped or verdict is Verdict.GAP:
            self._on_gap(now)
        else:
            self._messages += 1
            self._on_served(now)
            if isinstance(message, Batch):
                self._on_classified_batch(now, acceptance, message, verdict)
            else:
                self._on_classified_snapshot(now, relay, acceptance, message, verdict)

    def _on_classified_batch(self, now: int, acceptance: Acceptance, batch: Batch, verdict: Verdict) -> None:
        if verdict is Verdict.ACCEPTED:
            self.counters.batches += 1
            self.counters.changes += len(batch.changes)
            self._unapplied += 1
            self._decisions.append(acceptance.accept(batch))
            return
        self._progress_due = True
        compared = False
        if verdict is Verdict.HEARTBEAT:
            compared = acceptance.compare(batch)
        else:
            self.counters.ignored += 1
        self._repair_if_needed(now, acceptance, compared)

    def _on_classified_snapshot(
        self, now: int, relay: str, acceptance: Acceptance, snapshot: RangeSnapshot, verdict: Verdict
    ) -> None:
        self._progress_due = True
        if verdict is not Verdict.ACCEPTED:
            self.counters.ignored += 1
            return
        replace = acceptance.accept_snapshot(now, snapshot)
        if acceptance.too_large:
            self._on_malformed(now, relay, snapshot.region, "the range exceeds the maximum size")
        elif replace is not None:
            self.counters.ranges += 1
            self._unapplied += 1
            if replace.final:
                self._repair.on_repaired(snapshot.region)
            self._decisions.append(replace)

    def on_rejected(self, now: int, relay: str, rejection: FollowRejected) -> None:
        """Leave the relay if it rejected this follower or ended the current session."""
        if relay == self.relay and rejection.session == self._session:
            self.counters.rejected += 1
            self._leave(now, rejection.code, min(rejection.after, MAX_REJECTION_WAIT))

    def _on_gap(self, now: int) -> None:
        """Begin another session because a message was lost, or leave the relay after too many gaps."""
        self.counters.gaps += 1
        self._gaps += 1
        if self._gaps > MAX_GAPS:
            self._leave(now, "gaps")
        else:
            self._follow(now)

    def _on_malformed(self, now: int, relay: str, region: str, what: str) -> None:
        """Leave a relay that sent a message that fails a check."""
        self.counters.malformed += 1
        self._decisions.append(
            Event("distribution.malformed", {"relay": relay, "region": region, "what": what})
        )
        self._leave(now, "malformed", self.settings.malformed_backoff)

    # ---- the host --------------------------------------------------------------------------------------

    def on_applied(self, now: int, region: str, upto: Version, digest: int | None) -> None:
        """Record that the host has put an `Apply` or `ReplaceRange` in force.

        `digest` is the digest of the host's tables of the region at `upto`, or None if the host cannot
        compute a comparable one.
        """
        if self._unapplied_before:
            self._unapplied_before -= 1
        elif self._unapplied:
            self._unapplied -= 1
        self._progress_due = True
        acceptance = self._acceptances[region]
        compared = acceptance.on_applied(upto, digest)
        self._repair_if_needed(now, acceptance, compared)

    def on_progress_below(self, now: int, summaries: list[SubtreeSummary]) -> None:  # noqa: ARG002  # all inputs begin with the time
        """Record a relay's summaries of its own followers, which are sent on with this follower's progress.
        Regions that are not followed here are left out."""
        for summary in summaries:
            if summary.region in self._acceptances and self._below.get(summary.region) != summary:
                self._below[summary.region] = summary
                self._progress_due = True

    def _repair_if_needed(self, now: int, acceptance: Acceptance, compared: bool) -> None:
        """Request ranges if the digest differs or the position is behind the relay's horizon."""
        if compared and not acceptance.digest_differs:
            self._repair.on_equal(acceptance.region)
        if not acceptance.needs_ranges or not self.following:
            return
        requested_at = acceptance.transferring_at
        if requested_at is not None and now - requested_at < self.settings.range_timeout:
            return
        if acceptance.digest_differs and not self._should_repair(now, acceptance):
            return
        self._request_ranges(now, acceptance)

    def _should_repair(self, now: int, acceptance: Acceptance) -> bool:
        """Return whether to request ranges from the current relay, whose digest differs.

        If the digest of another relay has to be compared first, leave this one.
        """
        region = acceptance.region
        relay = self.relay
        is_only_relay = not any(other != relay for other in self._links.connected_at)
        if (
            is_only_relay
            and len(self._order.names) > 1
            and now - self._followed_at < self.settings.range_timeout
        ):
            return False  # the standby link may be connecting
        self.counters.digest_mismatches += 1
        self._decisions.append(Event("distribution.digest_differs", {"relay": relay, "region": region}))
        if self._repair.may_repair(region, relay, is_only_relay=is_only_relay):
            return True
        self._leave(now, "digest", self.settings.malformed_backoff)
        return False

    def _request_ranges(self, now: int, acceptance: Acceptance) -> None:
        acceptance.transferring_at = now
        digests = self._range_digests(acceptance.region) if self._range_digests else b""
        request = Digests(
            self._session, acceptance.region, acceptance.accepted, first=0, digests=digests, last=True
        )
        self._decisions.append(Send(self.relay, request))

    # ---- decisions -------------------------------------------------------------------------------------

    def wake_at(self) -> int:
        """Return the latest time at which `next_decision` has to be called again."""
        if not self.relay:
            return self._next_try_at
        if not self.following and self._deadline is not None:
            return self._deadline
        times = [self._progress_at + self.settings.heartbeat]
        if self._progress_due:
            times.append(self._progress_at + self.settings.progress_interval)
        if self._deadline is not None:
            times.append(self._deadline)
        return min(times)

    def next_decision(self, now: int) -> Decision | None:
        """Return the next decision for the host to execute, or None if there is none now."""
        if not self._decisions:
            self._turn(now)
        return self._decisions.popleft() if self._decisions else None

    def _turn(self, now: int) -> None:
        if not self.relay:
            if now >= self._next_try_at:
                self._try_next_relay(now)
            return
        if self._deadline is not None and now >= self._deadline:
            linked = self.relay in self._links.connected_at
            self.counters.silent += linked
            self._leave(now, "silent" if linked else "no link")
            return
        self._report_progress(now)
        if self.following:
            self._standby.update(now, self.relay)
            if self._standby.should_fail_back(now, self.relay, self._followed_at, self._session):
                self._fail_back(now)

    def _report_progress(self, now: int) -> None:
        wait = self.settings.progress_interval if self._progress_due else self.settings.heartbeat
        if not self.following or now - self._progress_at < wait:
            return
        self._progress_at = now
        self._progress_due = False
        done = self._messages - self._unapplied
        below = list(self._below.values())
        progress = Progress(self.name, self._session, self.positions(), below, done)
        self._decisions.append(Send(self.relay, progress))
        if now - self._notified_at >= self.settings.heartbeat:
            self._notified_at = now
            self._notify_left_relays()

    def _notify_left_relays(self) -> None:
        """Close links that are not needed, and connect to the next relay to be notified. Called once per
        heartbeat interval."""
        self._links.disconnect_others({self.relay, self._standby.relay, *self._left_relays})
        relay = self._left_relays.next()
        if relay is not None:
            self._links.connect(relay)
