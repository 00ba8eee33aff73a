"""Stand-ins on sockets: clients, destinations, the platform; each plays its script and notes what passed."""
