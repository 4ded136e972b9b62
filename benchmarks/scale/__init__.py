"""Measures how the costs of a gateway grow with the size of the installation.

    python -m benchmarks.scale [--only SUBJECT...] [--out docs/capacity/slopes.json]

Each module of ``benchmarks.scale.subjects`` measures one subject at several sizes and yields slopes; the record of all
slopes is what the capacity tables are worked out from.
"""
