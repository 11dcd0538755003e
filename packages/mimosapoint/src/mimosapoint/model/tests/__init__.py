"""Tests of the model subpackage."""
