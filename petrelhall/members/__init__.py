"""Which gateways there are, their lives, who hears whom, one's own stalls. Pure: times and bytes are handed in."""
