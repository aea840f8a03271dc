"""Serves a stand-in's WSGI application on cheroot, with a fault switch."""

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
# cheroot closes idle connections above 10 by default, which would hide
# faults of connection reuse from the tests.
KEPT_CONNECTIONS = 4096
STOP_TIMEOUT_S = 1
CONTROL_TIMEOUT_S = 5.0

WsgiApp = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]
ControlCallback = Callable[[Mapping[str, Any]], None]
Settings = TypeVar('Settings', bound=pydantic.BaseModel)


class ListenSettings(pydantic.BaseModel):
    """Settings that all stand-ins share; unknown keys are rejected."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)

    ip: str = '127.0.0.1'
    port: int = pydantic.Field(default=0, ge=0, le=65535)
    threads: int = pydantic.Field(default=16, ge=1, le=1024)


class Faults(pydantic.BaseModel):
    """Faults that `POST /control` sets; absent keys are unchanged.

    Attributes
    ----------
    outage : bool
        Answer every request with status 503, without effect.
    delay_s : float
        Wait before each request takes effect, in seconds.
    drop_answers : int
        Close the connection after the effect, without an answer, for this
        number of requests.
    """

    outage: bool = False
    delay_s: float = pydantic.Field(default=0.0, ge=0.0, le=600.0)
    drop_answers: int = pydantic.Field(default=0, ge=0)


class FaultSwitch:
    """WSGI middleware that applies faults and serves `POST /control`.

    Parameters
    ----------
    on_control : callable, optional
        Gets the keys of the control message that are not in `Faults`.
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
            return self._control(environ)(environ, start_response)
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
            _run_to_end(self._application, environ)
            _close_connection(environ)
        return self._application(environ, start_response)

    def _control(self, environ: dict[str, Any]) -> werkzeug.Response:
        message = read_json(werkzeug.Request(environ))
        if not isinstance(message, dict):
            return json_response({'error': 'not a JSON object'}, 400)
        own = {
            key: value
            for key, value in message.items()
            if key in Faults.model_fields
        }
        try:
            with self._lock:
                self._faults = Faults.model_validate(
                    self._faults.model_dump() | own
                )
            others = {
                key: value for key, value in message.items() if key not in own
            }
            if others and self._on_control is not None:
                self._on_control(others)
        except (pydantic.ValidationError, LookupError, ValueError) as error:
            return json_response({'error': str(error)}, 400)
        return json_response(self._faults.model_dump())


class Server:
    """A listening server whose requests run on threads of their own."""

    def __init__(
        self,
        application: WsgiApp,
        ip: str,
        port: int = 0,
        threads: int = 16,
        on_control: ControlCallback | None = None,
    ) -> None:
        self.switch = FaultSwitch(application, on_control)
        self._server = wsgi.Server(
            (ip, port),
            self.switch,
            numthreads=threads,
            max=threads,
            request_queue_size=LISTEN_BACKLOG,
            shutdown_timeout=STOP_TIMEOUT_S,
        )
        self._server.gateway = _Gateway
        self._server.keep_alive_conn_limit = KEPT_CONNECTIONS
        self._server.prepare()
        self.address = types.Address(*self._server.bind_addr[:2])
        self._thread = threading.Thread(
            target=self._server.serve, name='standin', daemon=True
        )
        self._thread.start()

    def close(self) -> None:
        """Stop listening and end the threads."""
        self._server.stop()
        self._thread.join()


def serve(
    application: WsgiApp,
    ip: str,
    port: int,
    threads: int,
    on_control: ControlCallback | None = None,
) -> int:
    """Serve on the main thread's behalf until SIGTERM or SIGINT.

    Prints `listening on ip:port` to standard output when ready; port 0
    picks a free port.

    Returns
    -------
    int
        Exit status of the process.
    """
    stop = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop.set())
    server = Server(application, ip, port, threads, on_control)
    print(f'listening on {server.address}', flush=True)
    stop.wait()
    server.close()
    return 0


def send_control(
    client: http.HttpClient, address: types.Address, message: Any
) -> result.Result[http.HttpResponse, errors.Failure]:
    """Set the faults of a stand-in, for tests and experiments."""
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
    """Read a YAML file of settings.

    Raises
    ------
    OSError, yaml.YAMLError, pydantic.ValidationError
        Where the file is missing or invalid.
    """
    content = pathlib.Path(path).read_text(encoding='utf-8')
    return model.model_validate(yaml.safe_load(content) or {})


def json_response(value: Any, status: int = 200) -> werkzeug.Response:
    """Make a JSON response."""
    return werkzeug.Response(
        orjson.dumps(value), status, content_type='application/json'
    )


def read_json(request: werkzeug.Request) -> Any:
    """Read a JSON body; None where it is not JSON."""
    try:
        return orjson.loads(request.get_data())
    except orjson.JSONDecodeError:
        return None


class _Gateway(wsgi.Gateway_10):
    """Gives the application access to its connection, to drop it."""

    def get_environ(self) -> Any:
        environ = super().get_environ()
        environ[CONNECTION_KEY] = self.req.conn.socket
        return environ


def _run_to_end(application: WsgiApp, environ: dict[str, Any]) -> None:
    pieces = application(environ, lambda *_: lambda _: None)
    collections.deque(pieces, maxlen=0)
    close = getattr(pieces, 'close', None)
    if close is not None:
        close()


def _close_connection(environ: Mapping[str, Any]) -> None:
    connection = environ[CONNECTION_KEY]
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    # cheroot closes the connection without an answer on this error.
    raise ConnectionResetError(errno.ECONNRESET, 'answer dropped')
