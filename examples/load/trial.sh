#!/bin/sh
# Runs an experiment against stand-ins and daemons that it starts on loopback and stops again.
# usage: trial.sh CONFIGURATION EXPERIMENT DAEMONS [cranberrylock-load options]
# CRASH="SECONDS N..." kills daemons N that many seconds after the experiment began.
# STANDINS holds further options of cranberrylock-standins; LIMITS further lines of the daemons' [limits].
set -eu
configuration=$1 experiment=$2 daemons=$3
shift 3
work=$(mktemp -d)
children=""
trap 'for p in $children; do kill "$p" 2>/dev/null || true; done; wait; rm -r "$work"' EXIT
go build -o "$work/" ./cmd/cranberrylockd ./cmd/cranberrylockctl ./cmd/cranberrylock-standins ./cmd/cranberrylock-load
"$work/cranberrylock-standins" --configuration "$configuration" ${STANDINS:-} >/dev/null 2>"$work/standins.log" &
children="$children $!"
domains=$(sed -n 's/^\[domain \(.*\)\]/\1/p' "$configuration")
for i in $(seq "$daemons"); do
	domain=$(echo "$domains" | sed -n "$(((i - 1) % $(echo "$domains" | wc -l) + 1))p")
	{
		printf '[daemon]\nname = daemon-%d\nfailure-domain = %s\n' "$i" "$domain"
		printf 'listen = 127.0.0.1:80%d0\nadmin-listen = 127.0.0.1:80%d1\npeer-listen = 127.0.0.1:80%d2\n' "$i" "$i" "$i"
		printf '[platform]\nlog = http://127.0.0.1:9000\nvm-list = http://127.0.0.1:9000/vms\n'
		for j in $(seq "$daemons"); do
			[ "$j" = "$i" ] || printf '[peer daemon-%d]\naddress = 127.0.0.1:80%d2\n' "$j" "$j"
		done
		printf '[key trial]\nsecret = Y3JhbmJlcnJ5bG9jay1leGFtcGxlLXNlY3JldC0wMDE=\n[keys]\nnewest = trial\n'
		printf '[limits]\n%b\n' "${LIMITS:-}"
	} >"$work/daemon-$i.ini"
	"$work/cranberrylockd" --settings "$work/daemon-$i.ini" 2>"$work/daemon-$i.log" &
	children="$children $!"
	eval "daemon_$i=$!"
done
sleep 1
"$work/cranberrylockctl" --daemon 127.0.0.1:8011 apply --force "$configuration" >&2
if [ -n "${CRASH:-}" ]; then
	(
		sleep "${CRASH%% *}"
		for i in ${CRASH#* }; do eval "kill -9 \$daemon_$i"; done
	) &
fi
"$work/cranberrylock-load" "$@" "$experiment"
echo "load average: $(cut -d' ' -f1-3 /proc/loadavg)"
"$work/cranberrylockctl" --daemon 127.0.0.1:8011 burn
