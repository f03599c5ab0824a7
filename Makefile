# Shortcuts for the CMake build. Start with `make demo` and `make check`; both
# install the packages that they need when run as root.
#
# BUILD: build folder. JOBS: parallel compilations. SANITIZE: sanitizer to build
# with, address or thread. SECONDS_EACH: how long `make soak` runs each seed.

BUILD ?= build
JOBS ?= $(shell nproc)
SECONDS_EACH ?= 12

.PHONY: all setup build demo check soak bench prove fuzz format format-check lint \
	proto clean

all: build

setup:
	@tools/setup.sh

build:
	@cmake -S . -B $(BUILD) -DAUBURN_SANITIZE=$(SANITIZE) >/dev/null
	@cmake --build $(BUILD) -j $(JOBS)

demo: setup build
	@$(BUILD)/demo

check: setup build
	@tools/run-tests.sh $(BUILD)

# Injects random faults with ten random seeds, or with those given:
# make soak SEEDS="7 12".
soak: setup build
	@$(BUILD)/functional-soak --seconds $(SECONDS_EACH) \
		$(or $(SEEDS),$(shell shuf -i 1-1000000000 -n 10))

bench: setup build
	@tools/bench.sh $(BUILD)

prove: setup build
	@tools/prove.sh $(BUILD)

# Builds the fuzz targets with libFuzzer into build-fuzz, for runs outside CI.
fuzz: setup
	@CC=clang cmake -S . -B build-fuzz -DAUBURN_FUZZ=ON \
		-DAUBURN_SANITIZE=address >/dev/null
	@cmake --build build-fuzz -j $(JOBS)

format:
	@tools/sources.sh | xargs clang-format -i

format-check:
	@tools/sources.sh | xargs clang-format --dry-run -Werror

lint:
	@tools/lint.sh $(BUILD)

# Generates src/wire/*.pb-c.[ch], which are committed. Needs the package
# protobuf-c-compiler.
proto:
	protoc-c --c_out=src/wire --proto_path=src/wire src/wire/auburn.proto \
		src/wire/entry.proto

clean:
	rm -rf build build-asan build-tsan build-fuzz
