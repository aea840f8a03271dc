"""Output of the command-line client: text or JSON, exit codes, progress."""

import contextlib
import enum
import sys
import threading
import time
from typing import Any, Iterator, TextIO

import orjson

from ..core import errors
from ..core import types
from ..inventory import files

PROGRESS_INTERVAL_S = 0.5


class ExitCode(enum.IntEnum):
    """Exit codes of all operator commands."""

    DONE = 0
    INPUT_PROBLEMS = 1
    USAGE = 2
    CONFLICT = 3
    REFUSED = 4
    NOT_REACHABLE = 5
    NOT_AUTHORIZED = 6


class Format(enum.Enum):
    """Form of what a command prints."""

    TEXT = 'text'
    JSON = 'json'


class Output:
    """Prints results on standard output and errors on standard error.

    In JSON form all of it is one JSON object on one line of standard output
    per call, also errors, so that a program reads one stream.
    """

    def __init__(self, form: Format) -> None:
        self._form = form

    def show(self, text: str, value: Any) -> None:
        """Print a result."""
        if self._form is Format.JSON:
            _print_json(value)
        else:
            print(text, flush=True)

    def note(self, text: str) -> None:
        """Print a line that JSON output has in its final object."""
        if self._form is Format.TEXT:
            print(text, flush=True)

    def fail(self, text: str, value: Any, code: ExitCode) -> ExitCode:
        """Print an error and return its exit code."""
        if self._form is Format.JSON:
            _print_json(value | {'exit_code': int(code)})
        else:
            print(text, file=sys.stderr, flush=True)
        return code

    def problems(self, found: files.Problems) -> ExitCode:
        """Print all problems in input files."""
        return self.fail(
            '\n'.join(str(problem) for problem in found),
            {'problems': [problem.to_json() for problem in found]},
            ExitCode.INPUT_PROBLEMS,
        )

    def failure(self, failure: errors.Failure, **more: Any) -> ExitCode:
        """Print a failed call."""
        value = {
            'error': failure.kind.value,
            'step': failure.step.value,
            'peer': failure.peer,
            'detail': failure.detail,
            'outcome': failure.outcome.value,
        }
        return self.fail(str(failure), value | more, exit_code(failure))


def exit_code(failure: errors.Failure) -> ExitCode:
    """Return the exit code for a failed call."""
    match failure.kind:
        case errors.FailureKind.INVALID | errors.FailureKind.NOT_FOUND:
            return ExitCode.INPUT_PROBLEMS
        case errors.FailureKind.UNAUTHORIZED:
            return ExitCode.NOT_AUTHORIZED
        case errors.FailureKind.CONFLICT:
            return ExitCode.CONFLICT
        case errors.FailureKind.NOT_CONNECTED:
            return ExitCode.NOT_REACHABLE
        case errors.FailureKind.TIMEOUT | errors.FailureKind.INTERRUPTED:
            # A change without an answer may be in force or not.
            if failure.outcome is types.Outcome.UNKNOWN:
                return ExitCode.REFUSED
            return ExitCode.NOT_REACHABLE
    return ExitCode.REFUSED


@contextlib.contextmanager
def progress(text: str, stream: TextIO | None = None) -> Iterator[None]:
    """Show the seconds of a wait where standard error is a terminal."""
    target = sys.stderr if stream is None else stream
    if not target.isatty():
        yield
        return
    done = threading.Event()
    thread = threading.Thread(
        target=_show_seconds, args=(text, target, done), daemon=True
    )
    thread.start()
    try:
        yield
    finally:
        done.set()
        thread.join()


def _show_seconds(text: str, target: TextIO, done: threading.Event) -> None:
    started_at = time.monotonic()
    width = 0
    while not done.wait(PROGRESS_INTERVAL_S):
        line = f'{text}: {time.monotonic() - started_at:.1f} s'
        width = max(width, len(line))
        target.write(f'\r{line}')
        target.flush()
    target.write('\r' + ' ' * width + '\r')
    target.flush()


def _print_json(value: Any) -> None:
    print(orjson.dumps(value).decode(), flush=True)
