"""Protocols as codecs on streams; nothing here knows the platform."""
