"""Errors of the distribution, each with advice for the operator.

A subclass of `Rejection` has a code, which is written to log lines and sent in responses. The other errors
are not sent to other processes.
"""

from __future__ import annotations

from linenbridge.errors import ControlPlaneError, Rejection


class OlderEpoch(Rejection):
    """The message is from a publisher that has been replaced; relays accept nothing more from that
    publisher."""

    code = "older_epoch"
    advice = "none: its successor goes on; a change client asks again and reaches the successor"


class LogGap(Rejection):
    """The entry before the sent entries is missing in the relay's log, or differs from the publisher's."""

    code = "gap"
    advice = "none: the publisher sends from where both agree"


class RelayFull(Rejection):
    """The relay already serves as many followers as its settings allow."""

    code = "full"
    advice = "start more relays in this region, or raise `followers` where the machine has room"


class RelayBehind(Rejection):
    """The relay has just started and has not caught up with the other regions."""

    code = "relay_behind"
    advice = "none: the follower goes to another relay; if it lasts, look at the links between the regions"


class SilentFollower(Rejection):
    """The follower has sent nothing for longer than `silence`, or the relay has no session with the
    follower."""

    code = "silent"
    advice = "none if it is rare: the follower begins anew; else look at its machine's load and its links"


class ForeignKey(Rejection):
    """The key belongs to another region."""

    code = "foreign_key"
    advice = "send the change to the publisher of the region that owns the key"


class NotPublisher(Rejection):
    """The process does not hold the region's lease."""

    code = "not_publisher"
    advice = "ask another candidate; if none holds the lease for long, look at the quorum (`quorum.lost`)"


class PublisherBusy(Rejection):
    """More changes wait for a majority of the region's relays than the publisher holds."""

    code = "busy"
    advice = "publish it again a little later; where it lasts, bring back relays of this region"


class ChangeRejected(Rejection):
    """The change cannot be read or fails its checks; the last good version stays in force."""

    code = "invalid"
    advice = "mend the value and publish it again; the error names the place"


class QuorumUnreached(Rejection):
    """No majority of the region's relays had the change on disk by its deadline; the change may still be
    accepted later."""

    code = "unconfirmed"
    advice = "bring back relays of this region; then publish it again: the newest version counts"


class RelayStoreError(ControlPlaneError):
    """A relay's disk cannot be written, or does not hold what was written."""

    advice = "mend the disk or empty the store's folder: the relay then follows the others from the start"


class ViewStoreError(ControlPlaneError):
    """A gateway's store cannot be used. The gateway continues without a store, and requests all tables from
    its relay at the next start."""

    advice = "mend the disk or delete the file; nothing is lost but bytes at the next start"
