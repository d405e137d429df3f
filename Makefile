# A thin front over the CMake presets.
PACKAGES := $(shell grep -v '^\#' packages.txt)
DAY ?= examples/days/everything.toml

.PHONY: demo test lint build bench fuzz packages

packages:
	@missing=$$(for p in $(PACKAGES); do dpkg -s $$p >/dev/null 2>&1 || echo $$p; done); \
	if [ -n "$$missing" ]; then apt-get update -qq && apt-get install -y -qq $$missing; fi

build: packages
	cmake --workflow --preset product

demo: build
	build/product/heronworks-lab day $(DAY)

test: packages
	cmake --workflow --preset tests

# Formatter over all sources, linter over src/. The ledger's protobuf headers are generated first.
lint: packages
	git ls-files '*.cpp' '*.h' | xargs clang-format --dry-run --Werror
	cmake --preset tests
	cmake --build --preset tests --target heronworks_ledger_wire
	run-clang-tidy -quiet -p build/tests -extra-arg=-Wno-unknown-warning-option -extra-arg=-Wno-shadow '$(CURDIR)/src/'

bench: build
	bench/run.sh build/product

fuzz: packages
	tests/fuzz/run.sh
