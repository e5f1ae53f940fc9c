#!/usr/bin/env bash
# Plays this case; see ../case.sh. TROUBLE=0 leaves the disruption out.
exec "$(dirname "$0")/../case.sh" 3 2
