#!/bin/sh
# Checks that src/load/ does no I/O and includes only its own headers, those of
# the base and of the interfaces that it decides for.
set -eu
cd "$(dirname "$0")/../.."
status=0
base='class_defaults clock endpoint group kumquatbridge link log point result
	rng session_values str text'
libraries='inttypes math sodium stdlib string uthash xxhash'
calls='socket|connect|send|recv|read|write|poll|epoll_[a-z]*|event_[a-z_]*'
calls="$calls|evbuffer_[a-z_]*|bufferevent_[a-z_]*|time|gettimeofday"
calls="$calls|clock_gettime|fopen|open"
for file in src/load/*.[ch]
do
	for header in $(sed -n 's/^#include "\(.*\)\.h"$/\1/p' "$file")
	do
		[ -e "src/load/$header.h" ] && continue
		case " $(echo $base) " in
		*" $header "*) ;;
		*)
			echo "$file includes $header.h, which is not of the base"
			status=1
			;;
		esac
	done
	for header in $(sed -n 's/^#include <\(.*\)\.h>$/\1/p' "$file")
	do
		case " $libraries " in
		*" $header "*) ;;
		*)
			echo "$file includes <$header.h>"
			status=1
			;;
		esac
	done
done
if grep -nE "(^|[^a-z_>.])($calls)\(" src/load/*.[ch]
then
	echo "src/load/ calls functions that do I/O or read the time"
	status=1
fi
exit "$status"
