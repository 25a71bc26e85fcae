"""Sends responses and refusals to callers."""

from rhubarbpaddle.exceptions import RefusedError, RhubarbpaddleError
from rhubarbpaddle.execution import BytesBody, Headers, Response
from rhubarbpaddle.http.caller_dialect import CallerDialect
from rhubarbpaddle.http.request_pipeline import RequestPipeline
from rhubarbpaddle.http.server_connection import ServerConnection
from rhubarbpaddle.network import Network
from rhubarbpaddle.telemetry import Metrics, get_logger

_log = get_logger("caller")


class ResponseSender:
    """Decides which response ends a connection, and how.

    Attributes:
        closing: Whether the last response of each connection closes it.
    """

    def __init__(
        self, dialect: CallerDialect, metrics: Metrics, network: Network
    ) -> None:
        """Creates a sender that keeps connections open.

        Args:
            dialect: Encodes refusals and adds headers to responses.
            metrics: Gets the code of each refusal.
            network: Resets connections to which no response can be sent.
        """
        self.closing = False
        self._dialect = dialect
        self._metrics = metrics
        self._network = network

    async def send(
        self,
        conn: ServerConnection,
        pipeline: RequestPipeline,
        method: bytes,
        response: Response,
    ) -> None:
        """Sends a response.

        Args:
            conn: The connection.
            pipeline: The requests behind the answered one.
            method: The method of the request.
            response: The response.

        Raises:
            RhubarbpaddleError: It could not be sent completely.
        """
        headers = [
            *response.headers,
            *self._dialect.get_response_headers(),
            *self._get_connection_headers(pipeline),
        ]
        await conn.send_response(
            method, response.status, headers, response.body
        )

    async def refuse(
        self,
        conn: ServerConnection,
        pipeline: RequestPipeline | None,
        method: bytes,
        service: str,
        request_id: str,
        exc: RefusedError,
    ) -> None:
        """Sends a refusal, or resets the connection if that is impossible.

        Args:
            conn: The connection.
            pipeline: The requests behind the refused one, if known.
            method: The method of the request.
            service: The requested service, or `-`.
            request_id: The request's id, or `-`.
            exc: The refusal.
        """
        self._metrics.record_refusal(service, exc.code, exc.outcome)
        _log.notice(
            "request_refused",
            request_id=request_id,
            service=service,
            status=exc.status,
            outcome=exc.outcome,
            error=exc,
        )
        if not conn.can_respond():
            self._network.reset_on_close(conn.stream)
            return
        status, headers, content = self._dialect.make_refusal(exc, request_id)
        headers = [*headers, *self._get_connection_headers(pipeline)]
        try:
            await conn.send_response(
                method, status, headers, BytesBody(content)
            )
        except RhubarbpaddleError as error:
            _log.info("caller_connection_ended", error=error)

    def _get_connection_headers(
        self, pipeline: RequestPipeline | None
    ) -> Headers:
        """Returns `Connection: close` for the last response.

        Requests that were read ahead are answered before it.
        """
        if self.closing and (pipeline is None or pipeline.close()):
            return [(b"connection", b"close")]
        return []
