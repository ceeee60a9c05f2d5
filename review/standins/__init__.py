"""Stand-ins for the platform, its upstreams, clients and operators."""
