# A thin front over the CMake presets.
PACKAGES := $(shell grep -v '^\#' packages.txt)
DAY ?= examples/days/everything.toml

.PHONY: demo test build bench fuzz packages

packages:
	@missing=$$(for p in $(PACKAGES); do dpkg -s $$p >/dev/null 2>&1 || echo $$p; done); \
	if [ -n "$$missing" ]; then apt-get update -qq && apt-get install -y -qq $$missing; fi

build: packages
	cmake --workflow --preset product

demo: build
	build/product/heronworks-lab day $(DAY)

test: packages
	cmake --workflow --preset tests

bench: build
	bench/run.sh build/product

fuzz: packages
	tests/fuzz/run.sh
