"""WSGI server of the stand-ins, based on cheroot, with fault injection."""

import collections
import errno
import pathlib
import signal
import socket
import threading
import time
from typing import Any, Callable, Iterable, Mapping, TypeVar

from cheroot import wsgi
import orjson
import pydantic
from returns import result
import werkzeug
import yaml

from ..core import errors
from ..core import types
from ..infrastructure import http

CONNECTION_KEY = 'hornbeamrudder.connection'
LISTEN_BACKLOG = 1024
# By default, cheroot closes idle connections above 10, which would hide
# connection reuse faults from the tests.
MAX_IDLE_CONNECTIONS = 4096
STOP_TIMEOUT_S = 1
CONTROL_TIMEOUT_S = 5.0

WsgiApp = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]
ControlCallback = Callable[[Mapping[str, Any]], None]
Settings = TypeVar('Settings', bound=pydantic.BaseModel)


class ListenSettings(pydantic.BaseModel):
    """Settings common to all stand-ins; unknown keys are rejected."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)

    ip: str = '127.0.0.1'
    port: int = pydantic.Field(default=0, ge=0, le=65535)
    threads: int = pydantic.Field(default=16, ge=1, le=1024)


class Faults(pydantic.BaseModel):
    """Faults that `POST /control` sets; absent keys stay unchanged.

    Attributes
    ----------
    outage : bool
        Reject every request with status 503, without executing it.
    delay_s : float
        Delay before each request is executed, in seconds.
    drop_answers : int
        Number of requests that are executed but whose connection is closed
        without a response.
    """

    outage: bool = False
    delay_s: float = pydantic.Field(default=0.0, ge=0.0, le=600.0)
    drop_answers: int = pydantic.Field(default=0, ge=0)


class FaultInjector:
    """WSGI middleware that applies faults and serves `POST /control`.

    Parameters
    ----------
    on_control : callable, optional
        Receives the keys of a control message that are not in `Faults`.
    """

    def __init__(
        self, application: WsgiApp, on_control: ControlCallback | None = None
    ) -> None:
        self._application = application
        self._on_control = on_control
        self._lock = threading.Lock()
        self._faults = Faults()
        self.requests_by_path: collections.Counter[str] = collections.Counter()

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        path = environ['PATH_INFO']
        if path == '/control':
            return self._handle_control(environ)(environ, start_response)
        with self._lock:
            self.requests_by_path[path] += 1
            faults = self._faults
            drop = faults.drop_answers > 0 and not faults.outage
            if drop:
                self._faults = faults.model_copy(
                    update={'drop_answers': faults.drop_answers - 1}
                )
        if faults.delay_s:
            time.sleep(faults.delay_s)
        if faults.outage:
            return json_response({'error': 'outage'}, 503)(
                environ, start_response
            )
        if drop:
            _discard_response(self._application, environ)
            _close_connection(environ)
        return self._application(environ, start_response)

    def _handle_control(self, environ: dict[str, Any]) -> werkzeug.Response:
        message = read_json(werkzeug.Request(environ))
        if not isinstance(message, dict):
            return json_response({'error': 'not a JSON object'}, 400)
        fault_fields = {
            key: value
            for key, value in message.items()
            if key in Faults.model_fields
        }
        try:
            with self._lock:
                self._faults = Faults.model_validate(
                    self._faults.model_dump() | fault_fields
                )
            other_fields = {
                key: value
                for key, value in message.items()
                if key not in fault_fields
            }
            if other_fields and self._on_control is not None:
                self._on_control(other_fields)
        except (pydantic.ValidationError, LookupError, ValueError) as error:
            return json_response({'error': str(error)}, 400)
        return json_response(self._faults.model_dump())


class Server:
    """A WSGI server on its own threads, listening once constructed."""

    def __init__(
        self,
        application: WsgiApp,
        ip: str,
        port: int = 0,
        threads: int = 16,
        on_control: ControlCallback | None = None,
    ) -> None:
        self.fault_injector = FaultInjector(application, on_control)
        self._server = wsgi.Server(
            (ip, port),
            self.fault_injector,
            numthreads=threads,
            max=threads,
            request_queue_size=LISTEN_BACKLOG,
            shutdown_timeout=STOP_TIMEOUT_S,
        )
        self._server.gateway = _ConnectionGateway
        self._server.keep_alive_conn_limit = MAX_IDLE_CONNECTIONS
        self._server.prepare()
        self.address = types.Address(*self._server.bind_addr[:2])
        self._thread = threading.Thread(
            target=self._server.serve, name='standin', daemon=True
        )
        self._thread.start()

    def close(self) -> None:
        """Stop listening and join the server thread."""
        self._server.stop()
        self._thread.join()


def serve(
    application: WsgiApp,
    ip: str,
    port: int,
    threads: int,
    on_control: ControlCallback | None = None,
) -> int:
    """Serve until SIGTERM or SIGINT; must be called on the main thread.

    Prints `listening on ip:port` to standard output when ready. Port 0
    selects a free port.

    Returns
    -------
    int
        Exit status of the process.
    """
    stop = threading.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: stop.set())
    server = Server(application, ip, port, threads, on_control)
    print(f'listening on {server.address}', flush=True)
    stop.wait()
    server.close()
    return 0


def send_control(
    client: http.HttpClient, address: types.Address, message: Any
) -> result.Result[http.HttpResponse, errors.Failure]:
    """Send a control message, which sets faults, to a stand-in."""
    request = http.HttpRequest(
        'POST',
        str(address),
        '/control',
        errors.Step.CALL_CLOUD,
        body=orjson.dumps(message),
        total_timeout_s=CONTROL_TIMEOUT_S,
    )
    return client.call(request)


def load_settings(path: str, model: type[Settings]) -> Settings:
    """Read settings from a YAML file.

    Raises
    ------
    OSError, yaml.YAMLError, pydantic.ValidationError
        The file is missing or invalid.
    """
    content = pathlib.Path(path).read_text(encoding='utf-8')
    return model.model_validate(yaml.safe_load(content) or {})


def json_response(value: Any, status: int = 200) -> werkzeug.Response:
    """Create a JSON response."""
    return werkzeug.Response(
        orjson.dumps(value), status, content_type='application/json'
    )


def read_json(request: werkzeug.Request) -> Any:
    """Parse a JSON body; return None if it is not valid JSON."""
    try:
        return orjson.loads(request.get_data())
    except orjson.JSONDecodeError:
        return None


class _ConnectionGateway(wsgi.Gateway_10):
    """Exposes the client socket to the application, which may close it."""

    def get_environ(self) -> Any:
        environ = super().get_environ()
        environ[CONNECTION_KEY] = self.req.conn.socket
        return environ


def _discard_response(application: WsgiApp, environ: dict[str, Any]) -> None:
    chunks = application(environ, lambda *_: lambda _: None)
    collections.deque(chunks, maxlen=0)
    close = getattr(chunks, 'close', None)
    if close is not None:
        close()


def _close_connection(environ: Mapping[str, Any]) -> None:
    connection = environ[CONNECTION_KEY]
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    # On this error, cheroot closes the connection without a response.
    raise ConnectionResetError(
        errno.ECONNRESET, 'response dropped by the drop_answers fault'
    )
