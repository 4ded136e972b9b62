"""Shares of quotas and ceilings that gateways own, lend and get back, and the error that is stated for it. Pure."""
