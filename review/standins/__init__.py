"""Stand-ins for the platform around a router: clients, engines, the name server and the process manager."""
