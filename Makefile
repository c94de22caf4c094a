# Every target installs what it needs, so each works on a fresh machine as root.
PRESET ?= release
BUILD := build/$(PRESET)

.PHONY: deps build demo test bench lint format clean

deps:
	@tools/install-deps.sh

build: deps
	@cmake --preset $(PRESET) >/dev/null
	@cmake --build --preset $(PRESET)

demo: build
	@$(BUILD)/sniperock demo

test: build
	@ctest --preset $(PRESET)

# BENCH=quick runs a short form; BENCH='full --append docs/BENCH.md' adds the tables to the page.
bench: build
	@tools/bench/run.sh --binary $(BUILD)/sniperock $(or $(BENCH),full)

model: deps
	@tools/model.sh

lint: deps
	@tools/lint.sh

format: deps
	@clang-format-16 -i $$(git ls-files 'src/*.cpp' 'src/*.hpp')

clean:
	@rm -rf build
