"""The file that the operators write: its structures, its checks, its schema."""
