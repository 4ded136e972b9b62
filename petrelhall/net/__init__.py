"""Network input and output: event loop, streams, framed connections, logging and counters."""
