"""Stand-in for the object store: immutable named objects in memory."""

import threading

import pydantic
import werkzeug

from . import server

PATH_PREFIX = '/v1/objects/'


class Settings(server.ListenSettings):
    """Settings of the object store stand-in; sizes in bytes."""

    max_object_bytes: int = pydantic.Field(default=16_777_216, gt=0)
    max_total_bytes: int = pydantic.Field(default=268_435_456, gt=0)


class ObjectStore:
    """In-memory objects and their request handlers."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._lock = threading.Lock()
        self._body_by_name: dict[str, bytes] = {}

    def handle_request(self, request: werkzeug.Request) -> werkzeug.Response:
        """Handle one request."""
        name = request.path.removeprefix(PATH_PREFIX)
        if not name or not request.path.startswith(PATH_PREFIX):
            return server.json_response({'error': 'unknown path'}, 404)
        match request.method:
            case 'GET':
                return self._get(name)
            case 'PUT':
                return self._put(name, request)
            case _:
                return server.json_response({'error': 'method'}, 405)

    def _get(self, name: str) -> werkzeug.Response:
        with self._lock:
            body = self._body_by_name.get(name)
        if body is None:
            return server.json_response({'error': 'unknown object'}, 404)
        return werkzeug.Response(body, mimetype='application/octet-stream')

    def _put(self, name: str, request: werkzeug.Request) -> werkzeug.Response:
        if (request.content_length or 0) > self._settings.max_object_bytes:
            return server.json_response({'error': 'object too large'}, 413)
        body = request.get_data()
        with self._lock:
            stored = self._body_by_name.get(name)
            if stored is not None and stored != body:
                return server.json_response({'error': 'name taken'}, 409)
            total_bytes = sum(map(len, self._body_by_name.values()))
            if total_bytes + len(body) > self._settings.max_total_bytes:
                return server.json_response({'error': 'store full'}, 507)
            self._body_by_name[name] = body
        return server.json_response({'name': name, 'bytes': len(body)}, 201)


def run(settings: Settings) -> int:
    """Serve until SIGTERM or SIGINT."""
    return server.serve(
        werkzeug.Request.application(ObjectStore(settings).handle_request),
        settings.ip,
        settings.port,
        settings.threads,
    )


def main(path: str) -> int:
    """Serve with settings read from the YAML file at `path`."""
    return run(server.load_settings(path, Settings))
