#!/bin/sh
# Runs clang-tidy and cppcheck over every C file; a finding is an error.
set -eu
cd "$(dirname "$0")/.."
build=${1:-build}

# The slowest files are in test/. The reverse sort starts them early.
tools/sources.sh | grep '\.c$' | grep -v '^test/fuzz/replay' | sort -r |
	xargs -P "$(nproc)" -n 1 clang-tidy -p "$build" --quiet 2>/dev/null ||
	{ echo "lint: clang-tidy has findings" >&2; exit 1; }
cppcheck --quiet -j "$(nproc)" --error-exitcode=1 --std=c11 \
	--enable=warning,performance,portability --inline-suppr \
	--suppress=missingIncludeSystem --suppress='*:*.pb-c.*' \
	--suppress=normalCheckLevelMaxBranches \
	-D'CK_EPOCH_CONTAINER(T,M,N)=' -I src $(tools/sources.sh | grep '\.c$')
