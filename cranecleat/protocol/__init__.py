"""What is spoken on the wire: parsers, encoders and the connections that carry them."""
