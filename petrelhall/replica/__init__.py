"""Control processes put together: a control replica or a distributor, from its file to its exit."""
