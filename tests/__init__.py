"""Tests; fakes live beside the tests that use them."""
