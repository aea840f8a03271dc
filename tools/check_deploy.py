"""Checks the build and the roles of the deploy file in a clean source copy.

Each role must import with only the packages that the build installs. Without
settings it must report that they are malformed and exit with 1.
"""

import os
import pathlib
import subprocess
import sys
import tempfile
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD_TIMEOUT_S = 600
START_TIMEOUT_S = 30
EXIT_INVALID_SETTINGS = 1


def main() -> int:
    """Run the build and check that each role starts."""
    deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
    with tempfile.TemporaryDirectory() as folder:
        files = subprocess.run(
            ['git', 'ls-files', '-z'],
            cwd=ROOT,
            capture_output=True,
            check=True,
        ).stdout.decode()
        for name in filter(None, files.split('\0')):
            if (ROOT / name).is_file() and not name.startswith('journal/'):
                target = pathlib.Path(folder) / name
                target.parent.mkdir(parents=True, exist_ok=True)
                target.write_bytes((ROOT / name).read_bytes())
        subprocess.run(
            deploy['build'],
            shell=True,
            cwd=folder,
            check=True,
            timeout=BUILD_TIMEOUT_S,
        )
        for name, role in deploy['roles'].items():
            arguments = role['run'].split()
            completed = subprocess.run(
                [sys.executable, '-S', *arguments[1:]],
                cwd=folder,
                env={'PATH': os.environ['PATH'], 'PYTHONPATH': 'target/deps'},
                capture_output=True,
                text=True,
                timeout=START_TIMEOUT_S,
            )
            if (
                completed.returncode != EXIT_INVALID_SETTINGS
                or 'settings are malformed' not in completed.stdout
            ):
                print(f'role {name} does not start:\n{completed.stdout}')
                print(completed.stderr)
                return 1
    print('the deploy file builds and its roles start')
    return 0


if __name__ == '__main__':
    sys.exit(main())
