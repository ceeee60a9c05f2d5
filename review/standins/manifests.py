"""Manifests in the platform's format."""

import typing

ROUTE_COLUMNS = [
    "name",
    "hostname",
    "path_prefix",
    "route_type",
    "timeout",
    "target_latency",
    "priority",
    "traffic_split",
    "max_attempts",
    "service",
]
SERVICE_COLUMNS = ["name", "health_path", "max_connections", "protocol", "tls"]


def route(
    prefix: str,
    service: str,
    route_type: str = "unsafe",
    timeout: str = "5000ms",
    max_attempts: int = 2,
) -> list[typing.Any]:
    """Returns the row of a route."""
    return [
        f"r{prefix.replace('/', '-')}",
        "front.example",
        prefix,
        route_type,
        timeout,
        "1500ms",
        0,
        None,
        max_attempts,
        service,
    ]


def manifest(
    version: int,
    routes: list[list[typing.Any]],
    services: list[str],
    **members: typing.Any,
) -> dict[str, typing.Any]:
    """Returns a manifest."""
    return {
        "version": f"r{version}",
        "routes": {"columns": ROUTE_COLUMNS, "rows": routes},
        "services": {
            "columns": SERVICE_COLUMNS,
            "rows": [[name, "/healthz", 796, "h1", False] for name in services],
        },
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout": "3000ms",
            "idle_timeout": "15000ms",
        },
        **members,
    }
