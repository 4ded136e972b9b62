"""The gateway program: its listener, request handling and connections to other services."""
