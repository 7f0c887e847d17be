#!/usr/bin/env bash
# Exit: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no crashes.
set -uo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
cd "$root"
test -f target/sequoia-node.jar && test -d target/review/classes || exit 2
work="$(mktemp -d)"
trap 'rm -rf "$work"' EXIT
java -Xmx256m -cp target/review/classes Ends "$root" "$work" "$here/record.txt"
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
