#!/bin/sh
# lint.sh [BUILD]: runs clang-tidy and cppcheck over the hand-written C files;
# clang-tidy leaves out test/fuzz/replay.c. A finding is an error. Needs a build
# folder with compile_commands.json.
set -eu
cd "$(dirname "$0")/.."
build=${1:-build}

# clang-tidy takes longest for files in test/. The reverse sort starts those
# first.
tools/sources.sh | grep '\.c$' | grep -v '^test/fuzz/replay' | sort -r |
	xargs -P "$(nproc)" -n 1 clang-tidy -p "$build" --quiet 2>/dev/null ||
	{ echo "lint: clang-tidy failed or has findings, see above" >&2; exit 1; }
cppcheck --quiet -j "$(nproc)" --error-exitcode=1 --std=c11 \
	--enable=warning,performance,portability --inline-suppr \
	--suppress=missingIncludeSystem --suppress='*:*.pb-c.*' \
	--suppress=normalCheckLevelMaxBranches \
	-D'CK_EPOCH_CONTAINER(T,M,N)=' -I src $(tools/sources.sh | grep '\.c$')
