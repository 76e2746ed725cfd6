# Wrapper around the CMake build. Each target first builds what it depends on.
BUILD ?= build
ARGS ?=
JOBS ?= $(shell nproc)
# ON makes compiler warnings errors, as in CI.
WERROR ?= OFF
export CCACHE_BASEDIR := $(CURDIR)
export CCACHE_NOHASHDIR := 1

.PHONY: all setup configure demo soak test test-sanitize format check-format lint spec clean

all: configure
	@cmake --build $(BUILD) -j $(JOBS)

# Installs the Debian packages that the build and the tests need.
setup:
	@tools/install-packages

configure: setup
	@cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=Release -DGREENGAGESPAR_WERROR=$(WERROR) >/dev/null

test: all
	@tools/run-tests $(BUILD)

test-sanitize: setup
	@cmake -S . -B $(BUILD)-sanitize -G Ninja -DCMAKE_BUILD_TYPE=Debug -DGREENGAGESPAR_WERROR=$(WERROR) -DGREENGAGESPAR_SANITIZE=ON >/dev/null
	@cmake --build $(BUILD)-sanitize -j $(JOBS)
	@ASAN_OPTIONS=quarantine_size_mb=16 tools/run-tests $(BUILD)-sanitize

demo: all
	@$(BUILD)/bin/demo $(ARGS)

# Runs soaks, for example: make soak ARGS='--seed 1 --seeds 50'
soak: all
	@$(BUILD)/bin/soak $(ARGS)

# Runs a measurement program, for example: make measure-path ARGS='--seed 2'
measure-%: all
	@$(BUILD)/bin/measure-$* $(ARGS)

spec: setup
	@spec/run $(ARGS)

format:
	@git ls-files '*.cpp' '*.h' | grep -v '\.pb\.' | xargs clang-format -i

check-format:
	@git ls-files '*.cpp' '*.h' | grep -v '\.pb\.' | xargs clang-format --dry-run --Werror

lint: configure
	@tools/lint $(BUILD)

clean:
	@rm -rf $(BUILD) $(BUILD)-sanitize
