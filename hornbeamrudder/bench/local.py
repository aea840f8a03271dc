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

# Sixty processes that start at once take a minute on a busy machine.
START_TIMEOUT_S = 90.0
STOP_TIMEOUT_S = 30.0
LOOPBACK = '127.0.0.1'
LISTENING = 'listening on '
# Address of a process that does not listen yet.
NO_ADDRESS = types.Address('', 0)


@dataclasses.dataclass(slots=True)
class LocalProcess:
    """A process that this program started."""

    name: str
    process: subprocess.Popen[str]
    address: types.Address

    @property
    def running(self) -> bool:
        """Whether the process has not ended."""
        return self.process.poll() is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has ended."""
        if self.running:
            self.process.send_signal(number)

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait for the end and return the exit status."""
        return self.process.wait(timeout_s)


class LocalProcesses:
    """Starts processes in a folder of settings and logs, and ends them."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.by_name: dict[str, LocalProcess] = {}
        folder.mkdir(parents=True, exist_ok=True)

    def start_many(
        self, commands: Mapping[str, tuple[Sequence[str], Mapping[str, Any]]]
    ) -> tuple[LocalProcess, ...]:
        """Start processes side by side, then wait until all listen.

        Parameters
        ----------
        commands : mapping
            By name: command line words after the program's name, and the
            settings to write into the file that is passed by `--settings`.
        """
        # Each is in `by_name` before the next step can fail, so that
        # `stop_all` ends those that no one waits for any more.
        for name, (words, settings) in commands.items():
            self.by_name[name] = LocalProcess(
                name, self._spawn(name, words, settings), NO_ADDRESS
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
        self, name: str, words: Sequence[str], settings: Mapping[str, Any]
    ) -> LocalProcess:
        """Start one process and wait until it listens."""
        return self.start_many({name: (words, settings)})[0]

    def stop_all(self) -> None:
        """End all processes at once; a graceful stop is tested apart."""
        for item in self.by_name.values():
            item.send(signal.SIGKILL)
        for item in self.by_name.values():
            item.wait()

    def log_text(self, name: str) -> str:
        """Return what a process has logged."""
        return self._log_path(name).read_text(errors='replace')

    def _spawn(
        self, name: str, words: Sequence[str], settings: Mapping[str, Any]
    ) -> subprocess.Popen[str]:
        path = self.folder / f'{name}.yaml'
        path.write_text(yaml.safe_dump(dict(settings)))
        with self._log_path(name).open('w') as log_file:
            return subprocess.Popen(
                [
                    sys.executable,
                    '-m',
                    'hornbeamrudder.cli',
                    *words,
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
        if not line.startswith(LISTENING):
            process.kill()
            raise RuntimeError(
                f'{name} did not start: {line!r}\n{self.log_text(name)}'
            )
        ip, _, port = line.removeprefix(LISTENING).strip().partition(':')
        return types.Address(ip, int(port))

    def _log_path(self, name: str) -> pathlib.Path:
        return self.folder / f'{name}.log'


@contextlib.contextmanager
def local_processes(folder: pathlib.Path) -> Iterator[LocalProcesses]:
    """Run a block with processes that are ended after it."""
    processes = LocalProcesses(folder)
    try:
        yield processes
    finally:
        processes.stop_all()


def control(
    client: http.HttpClient, address: types.Address, message: Any
) -> None:
    """Set faults of a stand-in.

    Raises
    ------
    RuntimeError
        The stand-in did not take the message.
    """
    answer = client.call(
        http.HttpRequest(
            method='POST',
            peer=str(address),
            path='/control',
            step=errors.Step.PEER_EXCHANGE,
            body=orjson.dumps(message),
        )
    )
    match answer:
        case result.Success(response) if response.status == 200:
            return
        case _:
            raise RuntimeError(f'{address} refused {message}: {answer}')


def get_json(
    client: http.HttpClient, address: types.Address, path: str
) -> Any:
    """Read a JSON page.

    Raises
    ------
    RuntimeError
        There was no answer with status 200.
    """
    answer = client.call(
        http.HttpRequest(
            method='GET',
            peer=str(address),
            path=path,
            step=errors.Step.PEER_EXCHANGE,
        )
    )
    match answer:
        case result.Success(response) if response.status == 200:
            return orjson.loads(response.body)
        case _:
            raise RuntimeError(f'no answer for {path} of {address}: {answer}')


def token_digest(token: str) -> str:
    """Digest of a token as the inventory holds it."""
    return hashing.digest(token.encode())
