"""Hollow gateways: the real control code on real sockets, hundreds in one process, with no data plane."""
