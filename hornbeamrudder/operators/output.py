"""Output formats, exit codes and progress of the command-line client."""

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

    SUCCESS = 0
    INPUT_PROBLEMS = 1
    USAGE = 2
    CONFLICT = 3
    REFUSED = 4
    UNREACHABLE = 5
    UNAUTHORIZED = 6


class Format(enum.Enum):
    """Output format of a command."""

    TEXT = 'text'
    JSON = 'json'


class Output:
    """Prints results to standard output and errors to standard error.

    With JSON, each call prints one object on one line of standard output,
    including errors, so that a program has to read only one stream.
    """

    def __init__(self, output_format: Format) -> None:
        self._format = output_format

    def print_result(self, text: str, value: Any) -> None:
        """Print a result."""
        if self._format is Format.JSON:
            _print_json(value)
        else:
            print(text, flush=True)

    def print_note(self, text: str) -> None:
        """Print text that JSON output includes in its final object."""
        if self._format is Format.TEXT:
            print(text, flush=True)

    def print_error(self, text: str, value: Any, code: ExitCode) -> ExitCode:
        """Print an error and return its exit code."""
        if self._format is Format.JSON:
            _print_json(value | {'exit_code': int(code)})
        else:
            print(text, file=sys.stderr, flush=True)
        return code

    def print_problems(self, input_problems: files.Problems) -> ExitCode:
        """Print the problems found in input files."""
        return self.print_error(
            '\n'.join(str(problem) for problem in input_problems),
            {'problems': [problem.to_json() for problem in input_problems]},
            ExitCode.INPUT_PROBLEMS,
        )

    def print_failure(
        self, failure: errors.Failure, **fields: Any
    ) -> ExitCode:
        """Print the failure of a call to a node."""
        value = {
            'error': failure.kind.value,
            'step': failure.step.value,
            'peer': failure.peer,
            'detail': failure.detail,
            'outcome': failure.outcome.value,
        }
        return self.print_error(
            str(failure), value | fields, exit_code(failure)
        )


def exit_code(failure: errors.Failure) -> ExitCode:
    """Return the exit code for the failure of a call to a node."""
    match failure.kind:
        case errors.FailureKind.INVALID | errors.FailureKind.NOT_FOUND:
            return ExitCode.INPUT_PROBLEMS
        case errors.FailureKind.UNAUTHORIZED:
            return ExitCode.UNAUTHORIZED
        case errors.FailureKind.CONFLICT:
            return ExitCode.CONFLICT
        case errors.FailureKind.NOT_CONNECTED:
            return ExitCode.UNREACHABLE
        case errors.FailureKind.TIMEOUT | errors.FailureKind.INTERRUPTED:
            # The change may or may not be in force.
            if failure.outcome is types.Outcome.UNKNOWN:
                return ExitCode.REFUSED
            return ExitCode.UNREACHABLE
    return ExitCode.REFUSED


@contextlib.contextmanager
def progress(text: str, stream: TextIO | None = None) -> Iterator[None]:
    """Show the elapsed seconds if the stream is a terminal."""
    output_stream = sys.stderr if stream is None else stream
    if not output_stream.isatty():
        yield
        return
    finished = threading.Event()
    thread = threading.Thread(
        target=_print_elapsed,
        args=(text, output_stream, finished),
        daemon=True,
    )
    thread.start()
    try:
        yield
    finally:
        finished.set()
        thread.join()


def _print_elapsed(
    text: str, output_stream: TextIO, finished: threading.Event
) -> None:
    started_at = time.monotonic()
    width = 0
    while not finished.wait(PROGRESS_INTERVAL_S):
        line = f'{text}: {time.monotonic() - started_at:.1f} s'
        width = max(width, len(line))
        output_stream.write(f'\r{line}')
        output_stream.flush()
    output_stream.write('\r' + ' ' * width + '\r')
    output_stream.flush()


def _print_json(value: Any) -> None:
    print(orjson.dumps(value).decode(), flush=True)
