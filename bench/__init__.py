"""Load, fake backend servers and measurements; no part of the product."""
