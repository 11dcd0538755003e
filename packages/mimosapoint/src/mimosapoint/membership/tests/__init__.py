"""Tests of the membership subpackage."""
