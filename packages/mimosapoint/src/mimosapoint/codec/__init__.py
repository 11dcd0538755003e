"""Encoding of typed values for the store, the workers and the peers."""

from mimosapoint.codec.core import converter, decode, encode, from_value, to_json, to_value

__all__ = ["converter", "decode", "encode", "from_value", "to_json", "to_value"]
