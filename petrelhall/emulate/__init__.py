"""The world in simulated time, round the same pure cores."""
