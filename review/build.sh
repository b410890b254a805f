#!/bin/sh
# Builds the stand-ins of the review's scripts into build-review/: the
# project's stand-in of the store, and the program of each case.  Needs the
# packages of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build-review
# shellcheck disable=SC2046
gcc -std=gnu11 -D_GNU_SOURCE -O2 -w -I. \
  standin/estate_main.c standin/estate.c standin/items.c standin/upstream.c \
  standin/serve.c standin/error.c \
  $(pkg-config --cflags --libs glib-2.0 json-c libevent) \
  -o build-review/standin-estate
for case in review/[1-5]/case.c; do
  number=$(basename "$(dirname "$case")")
  gcc -std=gnu11 -D_GNU_SOURCE -O2 -Wall -Wextra "$case" review/rig/rig.c \
    -lpthread -o "build-review/case-$number"
done
