"""The wire protocols: parsers, encoders and the connections that carry them."""
