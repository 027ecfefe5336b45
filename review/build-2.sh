#!/bin/sh
# What the cases of the second review need besides the deploy build. Their stand-ins are Python 3 with its standard
# library alone (review/lib-2): nothing is compiled, but checked to be readable here.
set -eu
cd "$(dirname "$0")"
python3 -B - lib-2/*.py [6-9]/case.py 10/case.py <<'CHECK'
import glob, sys
for path in sorted(set(p for name in sys.argv[1:] for p in glob.glob(name))):
    compile(open(path).read(), path, "exec")
    print("readable:", path)
CHECK
