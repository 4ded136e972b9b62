"""Versions of the configuration: names, entries, deltas, digests and what is staged and active. Pure."""
