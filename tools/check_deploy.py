"""Runs the build of the deploy file in a clean copy and starts its role.

The role must import with what the build installs alone; without settings it
has to say so and exit with 1.
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
EXIT_PROBLEMS = 1


def main() -> int:
    """Build, start, and check how the process ends."""
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
            words = role['run'].split()
            done = subprocess.run(
                [sys.executable, '-S', *words[1:]],
                cwd=folder,
                env={'PATH': os.environ['PATH'], 'PYTHONPATH': 'target/deps'},
                capture_output=True,
                text=True,
                timeout=START_TIMEOUT_S,
            )
            if (
                done.returncode != EXIT_PROBLEMS
                or 'settings are malformed' not in done.stdout
            ):
                print(f'role {name} does not start:\n{done.stdout}')
                print(done.stderr)
                return 1
    print('the deploy file builds and its roles start')
    return 0


if __name__ == '__main__':
    sys.exit(main())
