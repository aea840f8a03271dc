"""HTTP server of a node: cheroot with a fixed number of threads."""

import ssl
import threading
from typing import Any, Callable, Iterable

from cheroot.ssl import builtin
from cheroot import wsgi

from ..core import types
from ..settings import schema

CONNECTION_KEY = 'hornbeamrudder.connection'
LISTEN_BACKLOG = 1024
MAX_IDLE_CONNECTIONS = 2048
SERVER_NAME = 'hornbeamrudder'

WsgiApp = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]


class _Gateway(wsgi.Gateway_10):
    """Passes the caller's socket to the application in the WSGI environ."""

    def get_environ(self) -> Any:
        environ = super().get_environ()
        environ[CONNECTION_KEY] = self.req.conn.socket
        return environ


class _TlsAdapter(builtin.BuiltinSSLAdapter):
    """Uses a TLS context that is created and renewed elsewhere."""

    def __init__(self, tls: ssl.SSLContext) -> None:
        self.context = tls

    # The base class declares no argument, but the server passes the socket.
    def get_environ(  # type: ignore[override]
        self, sock: ssl.SSLSocket
    ) -> dict[str, Any]:
        """Return the WSGI variables of a TLS connection."""
        return {'wsgi.url_scheme': 'https', 'HTTPS': 'on'}


class CallerServer:
    """Accepts connections from callers and runs requests on threads."""

    def __init__(
        self,
        application: WsgiApp,
        listen: schema.Endpoint,
        limits: schema.Limits,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._server = wsgi.Server(
            (listen.ip, listen.port),
            application,
            numthreads=limits.threads,
            max=limits.threads,
            request_queue_size=LISTEN_BACKLOG,
            timeout=limits.idle_timeout_s,
            server_name=SERVER_NAME,
        )
        self._server.gateway = _Gateway
        self._server.max_request_header_size = limits.header_bytes
        self._server.max_request_body_size = limits.body_bytes
        self._server.keep_alive_conn_limit = MAX_IDLE_CONNECTIONS
        # With SO_REUSEPORT, several node processes share the port of a host.
        self._server.reuse_port = limits.share_port
        if tls is not None:
            self._server.ssl_adapter = _TlsAdapter(tls)
        self._server.prepare()
        ip, port = self._server.bind_addr[:2]
        self.address = types.Address(str(ip), int(port))
        self._thread = threading.Thread(
            target=self._server.serve, name='callers', daemon=True
        )

    def start(self) -> None:
        """Start accepting connections."""
        self._thread.start()

    def stop(self) -> None:
        """Stop listening and stop the threads."""
        self._server.stop()
        self._thread.join()
