"""Development tools that run and check the system; not part of the product."""
