"""Connections to boxes: what to open, keep, use and retire, and the sockets that carry it out."""
