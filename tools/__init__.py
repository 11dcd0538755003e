"""Tools that start and check the system; no part of the product."""
