"""Stand-ins of platform, engines and callers; for development only."""
