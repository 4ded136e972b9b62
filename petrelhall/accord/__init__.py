"""Consensus among gateways on the policy in force: ballots, leases and transfer of documents. Pure, without I/O."""
