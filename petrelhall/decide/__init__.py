"""The decision module: pure functions of events that carry the time, returning actions as values."""
