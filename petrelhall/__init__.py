"""petrelhall: the decisions of a front door that meters many customers' use of one shared service."""

from petrelhall.policy import Gateway

__all__ = ["Gateway"]
