"""Which boxes there are, and who says so."""
