"""Tests of a gateway's packed view, `linenbridge/distribution/view`."""
