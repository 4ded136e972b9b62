"""The gateway on sockets."""
