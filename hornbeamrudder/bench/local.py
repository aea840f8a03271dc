"""Runs nodes and stand-ins as processes on loopback, for tests."""

import contextlib
import dataclasses
import os
import pathlib
import select
import signal
import subprocess
import sys
from typing import Any, Iterator, Mapping, Sequence

import orjson
from returns import result
import yaml

from ..core import errors
from ..core import hashing
from ..core import types
from ..infrastructure import http

# 60 processes started at once take about a minute on a loaded machine.
START_TIMEOUT_S = 90.0
STOP_TIMEOUT_S = 30.0
LOOPBACK = '127.0.0.1'
LISTENING_PREFIX = 'listening on '
# Address of a process that is not listening yet.
NO_ADDRESS = types.Address('', 0)


@dataclasses.dataclass(slots=True)
class LocalProcess:
    """A process that this program started."""

    name: str
    process: subprocess.Popen[str]
    address: types.Address

    @property
    def running(self) -> bool:
        """Whether the process is still running."""
        return self.process.poll() is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has ended."""
        if self.running:
            self.process.send_signal(number)

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait for the process to exit and return its exit status."""
        return self.process.wait(timeout_s)


class LocalProcesses:
    """Processes with their settings and logs in one folder."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.by_name: dict[str, LocalProcess] = {}
        folder.mkdir(parents=True, exist_ok=True)

    def start_many(
        self, commands: Mapping[str, tuple[Sequence[str], Mapping[str, Any]]]
    ) -> tuple[LocalProcess, ...]:
        """Start processes concurrently and wait until all are listening.

        Parameters
        ----------
        commands : mapping
            By process name: command line arguments, and the settings to
            write to the file that is passed with `--settings`.
        """
        # Each process is in `by_name` before the next step can fail, so that
        # `stop_all` also stops those that are no longer waited for.
        for name, (arguments, settings) in commands.items():
            self.by_name[name] = LocalProcess(
                name, self._spawn(name, arguments, settings), NO_ADDRESS
            )
        started = [self.by_name[name] for name in commands]
        try:
            for item in started:
                item.address = self._wait_listening(item.name, item.process)
        except RuntimeError:
            for item in started:
                item.process.kill()
                item.process.wait()
            raise
        return tuple(started)

    def start(
        self, name: str, arguments: Sequence[str], settings: Mapping[str, Any]
    ) -> LocalProcess:
        """Start one process and wait until it is listening."""
        return self.start_many({name: (arguments, settings)})[0]

    def stop_all(self) -> None:
        """Kill all processes; graceful stops are tested separately."""
        for item in self.by_name.values():
            item.send(signal.SIGKILL)
        for item in self.by_name.values():
            item.wait()

    def log_text(self, name: str) -> str:
        """Return the log of a process."""
        return self._log_path(name).read_text(errors='replace')

    def _spawn(
        self, name: str, arguments: Sequence[str], settings: Mapping[str, Any]
    ) -> subprocess.Popen[str]:
        path = self.folder / f'{name}.yaml'
        path.write_text(yaml.safe_dump(dict(settings)))
        with self._log_path(name).open('w') as log_file:
            return subprocess.Popen(
                [
                    sys.executable,
                    '-m',
                    'hornbeamrudder.cli',
                    *arguments,
                    '--settings',
                    str(path),
                ],
                stdout=subprocess.PIPE,
                stderr=log_file,
                text=True,
                env=os.environ | {'PYTHONPATH': os.pathsep.join(sys.path)},
            )

    def _wait_listening(
        self, name: str, process: subprocess.Popen[str]
    ) -> types.Address:
        assert process.stdout is not None
        readable, _, _ = select.select(
            [process.stdout], [], [], START_TIMEOUT_S
        )
        line = process.stdout.readline() if readable else ''
        if not line.startswith(LISTENING_PREFIX):
            process.kill()
            raise RuntimeError(
                f'{name} reported no listening address: {line!r}\n'
                f'{self.log_text(name)}'
            )
        ip, _, port = (
            line.removeprefix(LISTENING_PREFIX).strip().partition(':')
        )
        return types.Address(ip, int(port))

    def _log_path(self, name: str) -> pathlib.Path:
        return self.folder / f'{name}.log'


@contextlib.contextmanager
def local_processes(folder: pathlib.Path) -> Iterator[LocalProcesses]:
    """Provide processes that are stopped when the block ends."""
    processes = LocalProcesses(folder)
    try:
        yield processes
    finally:
        processes.stop_all()


def control(
    client: http.HttpClient, address: types.Address, message: Any
) -> None:
    """Send a control message to a stand-in, for example to set its faults.

    Raises
    ------
    RuntimeError
        The stand-in did not accept the message.
    """
    http_result = client.call(
        http.HttpRequest(
            method='POST',
            peer=str(address),
            path='/control',
            step=errors.Step.PEER_EXCHANGE,
            body=orjson.dumps(message),
        )
    )
    match http_result:
        case result.Success(response) if response.status == 200:
            return
        case _:
            raise RuntimeError(f'{address} rejected {message}: {http_result}')


def get_json(
    client: http.HttpClient, address: types.Address, path: str
) -> Any:
    """Send a GET request and return the decoded JSON body.

    Raises
    ------
    RuntimeError
        The request failed or its status was not 200.
    """
    http_result = client.call(
        http.HttpRequest(
            method='GET',
            peer=str(address),
            path=path,
            step=errors.Step.PEER_EXCHANGE,
        )
    )
    match http_result:
        case result.Success(response) if response.status == 200:
            return orjson.loads(response.body)
        case _:
            raise RuntimeError(
                f'GET {path} from {address} failed: {http_result}'
            )


def token_digest(token: str) -> str:
    """Digest of a token as stored in the configuration document."""
    return hashing.digest(token.encode())
