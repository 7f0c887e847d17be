#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
# A caller that ignores SIGHUP, such as nohup, would let the hosts ignore it as well.
env --default-signal=HUP true || exit 2
exec env --default-signal=HUP java -Xmx512m -cp target/review-2 Hangup review/6/record.txt
