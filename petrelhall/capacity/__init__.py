"""What the program costs at a given size: measured slopes, the tables worked out from them, and the budgets. Pure."""
