#!/bin/sh
# Checks the responses and faults of the stand-in store. The argument is the
# build directory.
set -eu
build=${1:-build}
port=16950
url=http://127.0.0.1:$port

"$build/standin_store" --port "$port" &
pid=$!
trap 'kill "$pid" 2>/dev/null || :' EXIT

call () {
	curl -s -m 5 -d "$2" "$url$1" || echo "no answer"
}

# expect PATH BODY TEXT: fails unless the response contains TEXT.
expect () {
	answer=$(call "$1" "$2")
	case $answer in
	*"$3"*) ;;
	*)
		echo "$1 $2: got '$answer', not '$3'" >&2
		exit 1
		;;
	esac
}

tries=0
until curl -s -m 1 "$url/counters" >/dev/null
do
	tries=$((tries + 1))
	[ "$tries" -lt 100 ] || exit 1
	sleep 0.05
done

put='"success":[{"request_put":{"key":"L2E=","value":"dg=="}}]'
read='"failure":[{"request_range":{"key":"L2E="}}]'
absent='"compare":[{"key":"L2E=","target":"MOD","mod_revision":"0"}]'
all='{"create_request":{"key":"Lw==","range_end":"MA==","start_revision":"1"}}'

expect /v3/kv/txn "{$absent,$put,$read}" '"succeeded":true'
expect /v3/kv/txn "{$absent,$put,$read}" '"mod_revision":"2"'
expect /fault '{"loseAnswers":1,"staleReads":true}' '{}'
expect /v3/kv/put '{"key":"L2I=","value":"dg=="}' 'no answer'
expect /v3/kv/range '{"key":"L2I="}' '"revision":"2"},"count":"0"'
expect /fault '{"staleReads":false}' '{}'
expect /v3/kv/range '{"key":"L2I="}' '"revision":"3"},"count":"1"'
expect /v3/kv/deleterange '{"key":"L2I="}' '"deleted":"1"'
expect /v3/lease/grant '{"TTL":"60"}' '"ID":"1"'
expect /v3/kv/put '{"key":"L2w=","lease":"1"}' '"revision":"5"'
expect /v3/lease/revoke '{"ID":"1"}' '"revision":"6"'
expect /v3/lease/keepalive '{"ID":"1"}' '"TTL":"0"'
expect /v3/kv/range '{"key":"L2w="}' '"count":"0"'
expect /v3/kv/compaction '{"revision":"4"}' '"revision":"6"'
expect /v3/watch "$all" '"canceled":true,"compact_revision":"4"'
expect /fault '{"down":true}' '{}'
expect /v3/kv/range '{"key":"L2E="}' 'no answer'
expect /fault '{"down":false,"unknown":1}' 'unknown fault'
expect /v3/kv/range '{"key":"L2E="}' '"count":"1"'
expect /platform/hosts '[{"name":"h1"}]' 'not a list of hosts'
kill "$pid"
wait "$pid"
