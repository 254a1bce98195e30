"""Routes for health, readiness and metrics."""

from __future__ import annotations

from aiohttp import web

from briardeal.api._routes import Routes


class HealthRoutes(Routes):
    """Routes for the load balancer and for monitoring."""

    def definitions(self) -> list[web.RouteDef]:
        """Return the routes."""
        return [
            web.get("/healthz", self.healthz),
            web.get("/readyz", self.readyz),
            web.get("/metrics", self.metrics),
        ]

    async def healthz(self, request: web.Request) -> web.Response:
        """Respond with status 200 while the process is alive."""
        return web.json_response({"status": "ok"})

    async def readyz(self, request: web.Request) -> web.Response:
        """Respond with status 200 if the load balancer may send callers to this entry, else 503."""
        return web.json_response({}, status=200 if self.entry.ready else 503)

    async def metrics(self, request: web.Request) -> web.Response:
        """Return the metrics in the Prometheus text format."""
        return web.Response(body=self.entry.render_metrics(), content_type="text/plain")
