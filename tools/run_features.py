"""Runs the behave features of each package and prints a summary."""

from concurrent import futures
import dataclasses
import itertools
import json
import os
import pathlib
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / 'KNOWN-RED.txt'
PARALLEL_PACKAGES = 4
# Packages whose features run in processes of their own.
SPLIT_PACKAGES = frozenset({'gateway'})
# Packages whose features run after all others, one at a time, because they
# measure what the processes they start take from the machine.
ALONE_PACKAGES = frozenset({'crowds'})
# Scenarios with this tag run only in the extended failure tests.
LONG_TAG = 'long'
INCLUDE_LONG = os.environ.get('HORNBEAMRUDDER_PROOFS') == 'long'
PACKAGE_TIMEOUT_S = 1800 if INCLUDE_LONG else 540


@dataclasses.dataclass(frozen=True, slots=True)
class PackageResult:
    """Results of the features of one package."""

    name: str
    passed: tuple[str, ...]
    failed: tuple[str, ...]
    output: str


def known_red_names() -> frozenset[str]:
    """Return the scenario names in the `test:` lines of KNOWN-RED.txt."""
    if not KNOWN_RED.exists():
        return frozenset()
    return frozenset(
        line.removeprefix('test:').strip()
        for line in KNOWN_RED.read_text().splitlines()
        if line.startswith('test:')
    )


def run_package(path: pathlib.Path) -> PackageResult:
    """Run behave on the feature folder of a package, or on one feature."""
    name = (
        f'{path.parent.parent.name}/{path.stem}'
        if path.is_file()
        else path.parent.name
    )
    with tempfile.TemporaryDirectory() as scratch:
        report = pathlib.Path(scratch) / 'report.json'
        command = [
            sys.executable,
            '-m',
            'behave',
            '--no-color',
            '--format=json',
            f'--outfile={report}',
            '--format=progress2',
            '--outfile=/dev/stdout',
            str(path),
        ]
        if not INCLUDE_LONG:
            command.append(f'--tags=not @{LONG_TAG}')
        try:
            completed = subprocess.run(
                command,
                cwd=ROOT,
                stdout=subprocess.PIPE,
                stderr=subprocess.STDOUT,
                text=True,
                timeout=PACKAGE_TIMEOUT_S,
                env=os.environ | {'PYTHONHASHSEED': '0'},
            )
        except subprocess.TimeoutExpired as error:
            return PackageResult(name, (), (f'{name}: timed out',), str(error))
        try:
            features = json.loads(report.read_text())
        except (OSError, ValueError):
            return PackageResult(
                name, (), (f'{name}: no report',), completed.stdout
            )
    scenarios = [
        (element['name'], element.get('status', 'untested'))
        for feature in features
        for element in feature.get('elements', ())
        if element['type'] != 'background'
        and (
            INCLUDE_LONG
            or LONG_TAG
            not in {*feature.get('tags', ()), *element.get('tags', ())}
        )
    ]
    passed = tuple(title for title, status in scenarios if status == 'passed')
    failed = tuple(title for title, status in scenarios if status != 'passed')
    if not scenarios:
        failed = (f'{name}: no scenario was run',)
    elif completed.returncode != 0 and not failed:
        failed = (f'{name}: behave exited with {completed.returncode}',)
    return PackageResult(name, passed, failed, completed.stdout)


def _runs_alone(path: pathlib.Path) -> bool:
    folder = path.parent if path.is_file() else path
    return folder.parent.name in ALONE_PACKAGES


def main() -> int:
    """Run all packages, or those named on the command line."""
    requested = frozenset(sys.argv[1:])
    folders = [
        folder
        for folder in sorted((ROOT / 'hornbeamrudder').glob('*/features'))
        if not requested or folder.parent.name in requested
    ]
    # The extended tests of a package, and those of the gateway, take minutes,
    # mostly waiting for time-outs, so their features run in parallel.
    paths = [
        path
        for folder in folders
        for path in (
            sorted(folder.glob('*.feature'))
            if INCLUDE_LONG or folder.parent.name in SPLIT_PACKAGES
            else (folder,)
        )
    ]
    alone = [path for path in paths if _runs_alone(path)]
    with futures.ThreadPoolExecutor(PARALLEL_PACKAGES) as pool:
        results = list(
            pool.map(run_package, itertools.filterfalse(_runs_alone, paths))
        )
    results.extend(map(run_package, alone))
    known_red = known_red_names()
    unexpected = [
        (result, title)
        for result in results
        for title in result.failed
        if title not in known_red
    ]
    known_failures = [
        title
        for result in results
        for title in result.failed
        if title in known_red
    ]
    for result in results:
        print(
            f'{result.name}: {len(result.passed)} passed,'
            f' {len(result.failed)} failed'
        )
    for result in {item.name: item for item, _ in unexpected}.values():
        print(f'--- output of {result.name}\n{result.output}')
    for _, title in unexpected:
        print(f'FAILED: {title}')
    for title in known_failures:
        print(f'known red, passed over: {title}')
    passed = sum(len(result.passed) for result in results)
    print(f'{passed} passed, {len(unexpected)} failed')
    return 1 if unexpected or passed == 0 else 0


if __name__ == '__main__':
    sys.exit(main())
