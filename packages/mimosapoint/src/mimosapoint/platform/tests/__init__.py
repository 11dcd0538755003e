"""Tests of the messages of the platform's HTTP interfaces."""
