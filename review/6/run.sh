#!/bin/sh
# 1: the rule was broken, 0: it held, 2: the case couldn't run. TROUBLE=0: no disruption.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
[ -f "$root/target/review-2/case_6.py" ] && [ -d "$root/target/deps" ] || exit 2
export TROUBLE="${TROUBLE:-1}" REVIEW_ROOT="$root" PYTHONPATH="$root/target/deps"
python3 -c "import aiohttp, uvloop" || exit 2
exec python3 "$root/target/review-2/case_6.py" "$here/record.txt"
