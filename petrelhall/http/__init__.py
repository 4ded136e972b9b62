"""HTTP as a codec on streams, independent of the platform's headers."""
