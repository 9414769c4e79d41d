"""Stand-ins for platform services, engines and callers; for development only."""
