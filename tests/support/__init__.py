"""Stand-ins that several tests share."""
