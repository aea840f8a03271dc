"""Reads input files with a size limit and a text encoding."""

import pathlib

from returns import result

from . import problems

# A CSV file with 10,000 workers and their hosts is 0.75 MB.
MAX_FILE_BYTES = 8 * 1024 * 1024

Problems = tuple[problems.Problem, ...]


def read(
    path: pathlib.Path, encoding: str, max_bytes: int = MAX_FILE_BYTES
) -> result.Result[str, Problems]:
    """Read a regular file of at most `max_bytes` as text."""
    try:
        # Reading a pipe or a device could block or never end.
        if not path.is_file():
            return _file_problem(path, 'is absent or not a regular file')
        with path.open('rb') as stream:
            content = stream.read(max_bytes + 1)
    except (OSError, ValueError) as error:
        return _file_problem(path, f'cannot be read: {error}')
    return decode(str(path), content, encoding, max_bytes)


def decode(
    file: str, content: bytes, encoding: str, max_bytes: int = MAX_FILE_BYTES
) -> result.Result[str, Problems]:
    """Decode the content of a file and remove a byte order mark."""
    if len(content) > max_bytes:
        return _file_problem(file, f'is larger than {max_bytes} bytes')
    try:
        return result.Success(content.decode(encoding).removeprefix('\ufeff'))
    except UnicodeDecodeError as error:
        line = content.count(b'\n', 0, error.start) + 1
        return _file_problem(
            file, f'byte {error.start} is not valid {encoding}', line
        )


def _file_problem(
    file: object, reason: str, line: int = 1
) -> result.Result[str, Problems]:
    return result.Failure((problems.Problem(str(file), line, 'file', reason),))
