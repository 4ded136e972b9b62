"""harelatch: the decisions of a front door that meters many customers' use of one shared service."""

from harelatch.policy import Gateway

__all__ = ["Gateway"]
