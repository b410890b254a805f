# Entry points for developers and CI.  CMake builds in build/; `make check`
# builds with sanitizers in build-check/.

BUILD = build
JOBS ?= 8
# Scenario for `make bench`.
SCENARIO ?= all

.PHONY: all demo check bench lint format packages clean

all: packages
	cmake --fresh -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo
	cmake --build $(BUILD) -j $(JOBS)

packages:
	@tools/install-packages

demo: all
	$(BUILD)/demo/demo --bin $(BUILD) --deployment tammemets

check: packages
	cmake --fresh -S . -B $(BUILD)-check -G Ninja -DCMAKE_BUILD_TYPE=Debug -DCW_SANITIZE=ON
	cmake --build $(BUILD)-check -j $(JOBS)
	tools/run-tests $(BUILD)-check

bench: all
	$(BUILD)/bench/bench --bin $(BUILD) --scenario $(SCENARIO) --out $(BUILD)/bench/results.tsv

lint: packages
	tools/lint

format:
	tools/lint --fix

clean:
	rm -rf $(BUILD) $(BUILD)-check
