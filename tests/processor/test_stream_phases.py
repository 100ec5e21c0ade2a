"""The table of a stream's phases: what each message brings about, and which ones end the stream."""

from __future__ import annotations

import pytest

from linenbridge.processor.stream_phases import (
    MAX_DEFERRED,
    Action,
    MessageKind,
    OutOfOrderError,
    StreamPhases,
    StreamState,
)

HEADERS = MessageKind.REQUEST_HEADERS
BODY = MessageKind.REQUEST_BODY
TRAILERS = MessageKind.REQUEST_TRAILERS
RESPONSE = (MessageKind.RESPONSE_HEADERS, MessageKind.RESPONSE_BODY, MessageKind.RESPONSE_TRAILERS)


def dispatched() -> StreamPhases:
    phases = StreamPhases()
    phases.on_message(HEADERS)
    phases.on_dispatched()
    return phases


def test_a_request_is_decided_on_then_its_response_is_reported():
    phases = StreamPhases()
    assert phases.on_message(HEADERS) == Action.DECIDE
    assert phases.on_dispatched() == []
    assert [phases.on_message(kind) for kind in (BODY, TRAILERS)] == [Action.CONTINUE] * 2
    assert [phases.on_message(kind) for kind in RESPONSE] == [Action.REPORT, Action.CONTINUE, Action.REPORT]


def test_messages_that_come_while_a_decision_is_due_are_given_back_in_order():
    phases = StreamPhases()
    phases.on_message(HEADERS)
    assert [phases.on_message(kind) for kind in (BODY, BODY, TRAILERS)] == [Action.DEFER] * 3
    assert phases.on_dispatched() == [BODY, BODY, TRAILERS]
    assert phases.deferred == []


def test_no_more_than_a_bound_is_deferred():
    phases = StreamPhases()
    phases.on_message(HEADERS)
    for _ in range(MAX_DEFERRED):
        phases.on_message(BODY)
    with pytest.raises(OutOfOrderError, match="too much came before the decision"):
        phases.on_message(BODY)


def test_what_follows_a_rejected_request_is_ignored():
    phases = StreamPhases()
    phases.on_message(HEADERS)
    phases.on_rejected()
    assert phases.on_message(BODY) == Action.IGNORE
    with pytest.raises(OutOfOrderError, match="response_headers cannot come now: the stream is refused"):
        phases.on_message(MessageKind.RESPONSE_HEADERS)


def test_an_observed_stream_is_ignored_from_its_first_message_to_its_last():
    phases = StreamPhases()
    assert {phases.on_message(kind, observed=True) for kind in (HEADERS, *RESPONSE)} == {Action.IGNORE}
    with pytest.raises(OutOfOrderError, match="from its first message on, or never"):
        phases.on_message(BODY)
    with pytest.raises(OutOfOrderError, match="from its first message on, or never"):
        dispatched().on_message(BODY, observed=True)


@pytest.mark.parametrize(
    ("before", "kind", "text"),
    [
        ((), MessageKind.UNKNOWN, "holds no phase that is known here"),
        ((), BODY, "request_body cannot come now: the stream is opened"),
        ((HEADERS,), HEADERS, "request_headers came twice"),
        ((HEADERS,), MessageKind.RESPONSE_HEADERS, "response_headers cannot come now: the stream is asked"),
        ((HEADERS, TRAILERS), TRAILERS, "request_trailers came twice"),
    ],
)
def test_a_message_out_of_order_is_named_with_the_state_of_the_stream(before, kind, text):
    phases = StreamPhases()
    for earlier in before:
        phases.on_message(earlier)
    with pytest.raises(OutOfOrderError, match=text):
        phases.on_message(kind)


def test_a_decision_is_accepted_only_while_one_is_due():
    with pytest.raises(OutOfOrderError, match="nothing was to be decided: the stream is opened"):
        StreamPhases().on_dispatched()
    with pytest.raises(OutOfOrderError, match="nothing was to be decided: the stream is handed"):
        dispatched().on_rejected()


def test_the_texts_that_proxies_get_have_the_names_of_earlier_versions():
    assert [state.value for state in StreamState] == [
        "opened",
        "asked",
        "handed",
        "reported",
        "refused",
        "watched",
    ]
