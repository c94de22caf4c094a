# Every target installs what it needs, so each works on a fresh machine as root.
PRESET ?= release
BUILD := build/$(PRESET)

.PHONY: deps build demo soak test lint format clean

deps:
	@tools/install-deps.sh

build: deps
	@cmake --preset $(PRESET) >/dev/null
	@cmake --build --preset $(PRESET)

demo: build
	@$(BUILD)/sniperock demo

soak: build
	@tools/soak.sh $(BUILD)

test: build
	@ctest --preset $(PRESET)

lint: deps
	@tools/lint.sh

format: deps
	@clang-format-16 -i $$(git ls-files '*.cpp' '*.hpp')

clean:
	@rm -rf build
