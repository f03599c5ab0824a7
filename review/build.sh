#!/bin/bash
# Builds the stand-ins of the cases into build/review/.
set -eu
cd "$(dirname "$0")/.."
out=build/review
cmake -S . -B "$out" -DCMAKE_BUILD_TYPE=Release
cmake --build "$out" -j4 --target standin-site
for program in holders leaving slowlink
do
	"${CC:-cc}" -std=gnu11 -Wall -Wextra -O2 -o "$out/$program" \
		"review/$program.c" review/net.c -pthread
done
"${CC:-cc}" -std=gnu11 -Wall -Wextra -O2 -o "$out/free-ports" \
	review/free-ports.c
