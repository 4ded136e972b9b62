"""The decision module: pure, fed with events that carry the time, giving actions as values."""
