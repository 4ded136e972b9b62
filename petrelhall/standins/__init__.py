"""The world round a gateway, on loopback: boxes, discovery, counter, crowd, faults, and a judge of what they see.

Written against the published protocol with a parser of its own; nothing of the gateway's code is used here, so
that a mistake in that cannot hide in what judges it.
"""
