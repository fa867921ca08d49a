# Targets of the project. Targets that build first install the Debian packages that are missing.
BUILD ?= build
JOBS ?= $(shell nproc)
CMAKE = cmake -G Ninja -DCMAKE_EXPORT_COMPILE_COMMANDS=ON

.PHONY: all deps build clang asan tsan check check-asan check-tsan format lint test demo soak bench faults faults-processes capacity proto summary clean

all: build

deps:
	@scripts/install-deps.sh

build: deps
	@$(CMAKE) -S . -B $(BUILD) -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
	@cmake --build $(BUILD) -j $(JOBS)

# Build with clang: checks the lock annotations (-Wthread-safety) and writes the compile commands for
# clang-tidy.
clang: deps
	@CC=clang CXX=clang++ $(CMAKE) -S . -B $(BUILD)-clang -DCMAKE_BUILD_TYPE=Debug >/dev/null
	@cmake --build $(BUILD)-clang -j $(JOBS)

asan: deps
	@$(CMAKE) -S . -B $(BUILD)-asan -DCMAKE_BUILD_TYPE=Debug -DHYSSOPPOND_SANITIZE=address,undefined >/dev/null
	@cmake --build $(BUILD)-asan -j $(JOBS)

tsan: deps
	@$(CMAKE) -S . -B $(BUILD)-tsan -DCMAKE_BUILD_TYPE=Debug -DHYSSOPPOND_SANITIZE=thread >/dev/null
	@cmake --build $(BUILD)-tsan -j $(JOBS)

format:
	@git ls-files -co --exclude-standard '*.h' '*.cpp' | grep -v '\.pb\.' | xargs -r clang-format -i

lint: clang
	@scripts/lint.sh $(BUILD)-clang

test: build
	@ctest --test-dir $(BUILD) --output-on-failure -j $(JOBS)

check: deps
	@scripts/check-format.sh
	@scripts/render-capacity.py --check
	@$(MAKE) --no-print-directory lint
	@$(MAKE) --no-print-directory test

check-asan: asan
	@ctest --test-dir $(BUILD)-asan --output-on-failure -j $(JOBS)

check-tsan: tsan
	@ctest --test-dir $(BUILD)-tsan --output-on-failure -j $(JOBS)

demo: build
	@scripts/demo.sh $(BUILD)

# Random faults on real processes. scripts/soak.py --help lists the options for longer runs.
soak: build
	@scripts/soak.py $(BUILD) --seed 2 --seconds 8

bench: build
	@$(BUILD)/hyssoppond-bench

faults: build
	@$(BUILD)/hyssoppond-faults

# Runs the fault cells with real processes on loopback.
faults-processes: build
	@scripts/process-faults.sh $(BUILD)

capacity: build
	@$(BUILD)/hyssoppond-capacity

# Regenerates the committed protobuf code; needs protobuf-compiler.
proto:
	@command -v protoc >/dev/null || apt-get install -y -qq protobuf-compiler
	@protoc --cpp_out=src/rpc/generated -I schema schema/hyssoppond.proto

# Prints the known failing tests of KNOWN-RED.txt, if any.
summary:
	@if [ -s KNOWN-RED.txt ]; then echo "known failing tests:"; cat KNOWN-RED.txt; else echo "known failing tests: none"; fi

clean:
	@rm -rf $(BUILD) $(BUILD)-clang $(BUILD)-asan $(BUILD)-tsan
