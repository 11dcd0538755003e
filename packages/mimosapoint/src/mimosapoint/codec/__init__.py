"""JSON encoding of typed values for the store, workers and peer nodes."""

from mimosapoint.codec.core import converter, decode, encode, from_value, to_json, to_value

__all__ = ["converter", "decode", "encode", "from_value", "to_json", "to_value"]
