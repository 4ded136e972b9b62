"""petrelhall: a gateway that meters many customers' use of one shared fleet of servers."""
