"""Health, readiness and metrics."""

from __future__ import annotations

from aiohttp import web

from briardeal.api._routes import Routes


class HealthRoutes(Routes):
    """Routes for the balancer and for monitoring."""

    def table(self) -> list[web.RouteDef]:
        """Return the routes."""
        return [
            web.get("/healthz", self.healthz),
            web.get("/readyz", self.readyz),
            web.get("/metrics", self.metrics),
        ]

    async def healthz(self, request: web.Request) -> web.Response:
        """Tell that the process is alive."""
        return web.json_response({"status": "ok"})

    async def readyz(self, request: web.Request) -> web.Response:
        """Tell whether the balancer may send callers here."""
        return web.json_response({}, status=200 if self.entry.ready else 503)

    async def metrics(self, request: web.Request) -> web.Response:
        """Return the metrics in the Prometheus text format."""
        return web.Response(body=self.entry.render_metrics(), content_type="text/plain")
