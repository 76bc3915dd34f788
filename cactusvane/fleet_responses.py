"""Responses of one entry VM on its admin port and to the other entries on its peer port."""

from typing import TYPE_CHECKING

from cactusvane.admin import metrics_response, ready_response
from cactusvane.following import exchange
from cactusvane.following.exchange import TABLES_PATH, encode_response, requested_position
from cactusvane.http.check import bad_request
from cactusvane.http.exchange import Caller
from cactusvane.http.message import Request, Response
from cactusvane.placement.room import describe_rooms

if TYPE_CHECKING:
    from cactusvane.fleet_process import FleetProcess


async def handle_admin_request(
    process: "FleetProcess", request: Request, caller: Caller
) -> Response:
    """Handle a request on the admin port."""
    match request.method, request.path:
        case "GET", "/ready":
            return ready_response(process.ready)
        case "GET", "/metrics":
            now = process.clock.now()
            process.recorder.targets = process.domain.count_targets(now)
            process.recorder.rooms = describe_rooms(process.domain.placements, now)
            process.recorder.proof_age_ms = (
                None if process.prover is None else process.prover.proof_age_ms()
            )
            if process.fleet.quota is not None:
                process.recorder.quota = process.quota_gate.counts()
            process.recorder.isolated_requests = len(process.domain.crashes.isolated(now))
            return metrics_response(process.recorder)
        case _:
            raise bad_request("no-route", "the paths are /ready and /metrics", 404)


async def handle_peer_request(
    process: "FleetProcess", request: Request, caller: Caller
) -> Response:
    """Handle a request from another entry: a table, the entries or the configuration."""
    match request.path:
        case exchange.ENTRIES_PATH:
            return encode_response(process.finder.known_entries())
        case exchange.CONFIGURATION_PATH:
            return encode_response(process.configuration_rows)
    follower = process.followers.get(request.path.removeprefix(TABLES_PATH))
    if follower is None:
        raise bad_request("no-route", f"entries do not serve {request.path}", 404)
    return encode_response(follower.copy.changes_since(requested_position(request)))
