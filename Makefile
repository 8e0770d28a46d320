# `make demo` runs the demo and `make test` the tests; both install the packages
# and build first.
BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: all packages build demo test fuzz bench mutants format format-check lint

all: build

packages:
	@tools/packages.sh

build: packages
	@cmake -S . -B $(BUILD) >/dev/null
	@cmake --build $(BUILD) -j $(JOBS)

demo: build
	@tools/demo.sh

test: build
	@tools/test.sh $(BUILD)

# Fuzzes with random seeds for a given time: make fuzz SECONDS=600
fuzz: build
	@tools/fuzz.sh $(BUILD) $(SECONDS)

# make bench CASES="addis-surge4 addis-slow" RUNS=3
bench: build
	@RUNS=$(or $(RUNS),3) tools/bench.sh $(CASES)

mutants:
	@tools/mutants.sh

format:
	@clang-format -i $$(git ls-files '*.h' '*.cc')

format-check:
	@clang-format --dry-run -Werror $$(git ls-files '*.h' '*.cc')

lint:
	@tools/lint.sh $(BUILD)
