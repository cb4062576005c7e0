#!/bin/sh
# Builds the stand-ins of the cases in 6 to 10. They are Python 3 programs and need only the standard library, so that
# this only checks that they can be compiled.
set -e
cd "$(dirname "$0")"
exec python3 - lib2/*.py 6/*.py 7/*.py 8/*.py 9/*.py 10/*.py <<'END'
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
print(f"{len(sys.argv) - 1} stand-ins and cases compile")
END
