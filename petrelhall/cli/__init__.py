"""The command line: one file a sub-command. Nothing of it is imported by a gateway."""
