"""Measurements and the demonstration; not part of the product."""
