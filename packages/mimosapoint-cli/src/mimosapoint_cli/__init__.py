"""placeholder."""
