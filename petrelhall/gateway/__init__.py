"""One gateway put together."""
