"""Connections to servers: deciding which to open, reuse and retire, and the socket code that does it."""
