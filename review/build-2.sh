#!/bin/sh
# Builds the stand-ins of the second review. They are Python programs that use
# the standard library only, so there is nothing to install or to link: this
# checks that the interpreter of the deploy file can read each of them.
cd "$(dirname "$0")" || exit 1
exec python3 -B - standins-2/*.py [6-9]/*.py 10/*.py <<'END'
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit('Python 3.11 or newer is needed')
for name in sys.argv[1:]:
    if '*' not in name:
        compile(pathlib.Path(name).read_text(encoding='utf-8'), name, 'exec')
        print('checked', name)
END
