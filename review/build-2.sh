#!/bin/sh
# Builds the stand-ins of the scripts of this review into build-review-2/: the
# project's stand-in of the store, and the program of each case.  Needs the
# packages of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build-review-2
# shellcheck disable=SC2046
gcc -std=gnu11 -D_GNU_SOURCE -O2 -w -I. \
  standin/estate_main.c standin/estate.c standin/items.c standin/upstream.c \
  standin/serve.c standin/error.c \
  $(pkg-config --cflags --libs glib-2.0 json-c libevent) \
  -o build-review-2/standin-estate
for number in 6 7 8 9 10; do
  if [ -f "review/$number/case.c" ]; then
    gcc -std=gnu11 -D_GNU_SOURCE -O2 -Wall -Wextra -I. \
      "review/$number/case.c" review/rig-2/rig2.c -lpthread \
      -o "build-review-2/case-$number"
  fi
done
