# `make demo` runs the main job, `make test` the tests; both do all set-up.
BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: all packages build demo test fuzz bench format format-check lint

all: build

packages:
	@tools/packages.sh

build: packages
	@cmake -S . -B $(BUILD) >/dev/null
	@cmake --build $(BUILD) -j $(JOBS)

demo: build
	@tools/demo.sh

test: build
	@cd $(BUILD) && ctest --output-on-failure

format:
	@clang-format -i $$(git ls-files '*.h' '*.cc')

format-check:
	@clang-format --dry-run -Werror $$(git ls-files '*.h' '*.cc')

lint:
	@tools/lint.sh $(BUILD)
