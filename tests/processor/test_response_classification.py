"""Outcomes of responses by status and gRPC trailers, and proofs that an RPC was not executed."""

from __future__ import annotations

import pytest

from linenbridge.interface import Outcome
from linenbridge.processor.response_classification import (
    DETAILS_ATTRIBUTE,
    NonExecutionRule,
    Pending,
    ResponseClassifier,
    grpc_outcome,
)

CLASSIFIER = ResponseClassifier((NonExecutionRule(503, "x-never-ran", "1"),))
GRPC = {"content-type": "application/grpc+proto"}


def headers(status: str, **more: str) -> dict[str, str]:
    return {":status": status, **{name.replace("_", "-"): value for name, value in more.items()}}


@pytest.mark.parametrize(
    ("status", "outcome"),
    [
        ("200", Outcome.OK),
        ("301", Outcome.OK),
        ("404", Outcome.OK),
        ("499", Outcome.OK),
        ("500", Outcome.ERROR),
        ("503", Outcome.ERROR),
        ("599", Outcome.ERROR),
    ],
)
def test_a_status_from_500_on_is_an_error_and_a_lower_one_ok(status, outcome):
    assert CLASSIFIER.classify_headers(headers(status), {}, ended=True) == outcome


@pytest.mark.parametrize("status", ["", "100", "199", "20", "2000", "2x0", "٢٠٠"])
def test_an_interim_or_unreadable_status_gives_no_outcome(status):
    assert CLASSIFIER.classify_headers(headers(status), {}, ended=True) is None


def test_a_response_that_matches_a_rule_is_overloaded_and_others_are_errors():
    assert CLASSIFIER.classify_headers(headers("503", x_never_ran="1"), {}, ended=True) == Outcome.OVERLOADED
    assert CLASSIFIER.classify_headers(headers("503", x_never_ran="2"), {}, ended=True) == Outcome.ERROR
    assert CLASSIFIER.classify_headers(headers("500", x_never_ran="1"), {}, ended=True) == Outcome.ERROR


@pytest.mark.parametrize(
    ("details", "outcome"),
    [
        ("no_healthy_upstream", Outcome.CONNECT_FAILED),
        ("upstream_reset_before_response_started{connection_timeout}", Outcome.CONNECT_FAILED),
        ("upstream_reset_before_response_started{overflow}", Outcome.OVERLOADED),
        ("upstream_reset_before_response_started{connection_termination}", Outcome.ERROR),
        ("via_upstream", Outcome.ERROR),
    ],
)
def test_only_published_details_of_unsent_requests_prove_non_execution(details, outcome):
    assert CLASSIFIER.classify_headers(headers("503"), {DETAILS_ATTRIBUTE: details}, ended=True) == outcome


def test_details_of_a_successful_response_are_ignored():
    attributes = {DETAILS_ATTRIBUTE: "no_healthy_upstream"}
    assert CLASSIFIER.classify_headers(headers("200"), attributes, ended=True) == Outcome.OK


def test_a_grpc_response_is_classified_by_its_status_in_headers_or_trailers():
    assert CLASSIFIER.classify_headers(headers("200") | GRPC, {}, ended=False) == Pending.TRAILERS
    assert CLASSIFIER.classify_headers(headers("200") | GRPC, {}, ended=True) == Outcome.ERROR
    assert (
        CLASSIFIER.classify_headers(headers("200", grpc_status="14") | GRPC, {}, ended=True) == Outcome.ERROR
    )
    assert CLASSIFIER.classify_headers(headers("500") | GRPC, {}, ended=False) == Outcome.ERROR
    assert CLASSIFIER.classify_trailers({"grpc-status": "0"}, {}) == Outcome.OK
    assert CLASSIFIER.classify_trailers({}, {}) == Outcome.ERROR


@pytest.mark.parametrize(
    ("status", "outcome"),
    [
        ("0", Outcome.OK),
        ("5", Outcome.OK),
        ("16", Outcome.OK),
        ("2", Outcome.ERROR),
        ("8", Outcome.ERROR),
        ("14", Outcome.ERROR),
        ("", Outcome.ERROR),
        ("x", Outcome.ERROR),
    ],
)
def test_a_grpc_status_caused_by_the_caller_is_ok_and_others_are_errors(status, outcome):
    assert grpc_outcome(status) == outcome
