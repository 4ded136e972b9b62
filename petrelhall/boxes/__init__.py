"""The list of servers and the service discovery that provides it."""
