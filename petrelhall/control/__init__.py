"""What operators say to a running gateway: their calls, and the servers they have taken out. Pure."""
