#!/usr/bin/env bash
# Plays one case: case.sh NUMBER NODES. The stand-ins are review/bin/caseNUMBER, which writes the configurations
# first; the edge nodes are started by the run command of the deploy file. Exits with 1 if the rule was broken, 0 if
# it held, and 2 if the case could not run.
set -uo pipefail
cd "$(dirname "$0")/.." || exit 2
number=$1 nodes=$2
record=review/$number/record.txt
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
if [ -z "$run" ] || [ ! -x bin/edge ] || [ ! -x "review/bin/case$number" ]; then
	echo "build first: the build command of deploy/balancer.toml, then review/build.sh" >&2
	exit 2
fi
folder=$(mktemp -d) || exit 2
pids=()
finish() {
	disown -a 2>/dev/null # no message for each process that is killed
	for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null; done
	rm -rf "$folder"
}
trap finish EXIT
trap 'exit 2' INT TERM HUP
"review/bin/case$number" -folder "$folder" -record "$record" -trouble="${TROUBLE:-1}" &
play=$!
pids+=("$play")
for ((i = 0; i < 100; i++)); do
	[ -e "$folder/ready" ] && break
	sleep 0.1
done
[ -e "$folder/ready" ] || exit 2
for ((i = 0; i < nodes; i++)); do
	NODE_CONFIG=$folder/config-$i.json /bin/sh -c "$run" 2>"$folder/log-$i" &
	pids+=("$!")
	echo "$!" >"$folder/pid-$i.new" && mv "$folder/pid-$i.new" "$folder/pid-$i"
done
wait "$play"
status=$?
for ((i = 0; i < nodes; i++)); do
	# A comma before the fractions of a second (ISO 8601), so that a time does not look like an address.
	sed "s/\([0-9]\)\.\([0-9]*Z\) /\1,\2 /; s/^/log of node $i: /" "$folder/log-$i" >>"$record"
done
case $status in 0 | 1) exit "$status" ;; *) exit 2 ;; esac
