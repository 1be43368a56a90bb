# A short front to CMake. `make help` lists the targets.
BUILD ?= build
DEPLOYMENT ?= kocka-znova
SECONDS ?= 40
HISTORIES ?= 20000
SEEDS ?= 1-50
export CCACHE_SLOPPINESS = pch_defines,time_macros

all: build

help:
	@echo "make            builds everything (installs the Debian packages it needs first)"
	@echo "make test       unit, property, scenario and end-to-end tests"
	@echo "make demo       DEPLOYMENT=kocka-znova|port-louis SECONDS=40: a deployment under load, judged from outside"
	@echo "make bench      throughput and latency through the gate against the upstream alone, and micro benchmarks"
	@echo "make soak       HISTORIES=20000 random histories on each of five seeds"
	@echo "make faultsoak  SEEDS=1-50 SECONDS=20: real scheduler processes under faults from outside, judged from outside"
	@echo "make sanitize   the unit, property and scenario tests under ASan/UBSan and TSan"
	@echo "make slopes     the figures of docs/CAPACITY.md"
	@echo "make lint       formatter and linter"
	@echo "make update     writes the golden files of testsuite/ anew"

packages:
	@bash .ci/packages

build: packages
	@cmake -G Ninja -S . -B $(BUILD) > /dev/null
	@cmake --build $(BUILD)

test: build
	cd $(BUILD) && ctest --output-on-failure -j 4

demo: build
	python3 -W ignore src/demo/demo.py --binaries $(BUILD)/bin --deployment $(DEPLOYMENT) --seconds $(SECONDS)

bench: build
	python3 -W ignore src/demo/bench.py --binaries $(BUILD)/bin
	$(BUILD)/bin/mangobench

slopes: build
	python3 -W ignore src/demo/slopes.py --binaries $(BUILD)/bin

soak: build
	for seed in 1 2 3 4 5; do SEED=$$((seed * 1000000)) HISTORIES=$(HISTORIES) $(BUILD)/src/libmangocourse/mangocourse_test --gtest_brief=1 --gtest_filter='PoolHistory.*' & pids="$$pids $$!"; done; \
	for pid in $$pids; do wait $$pid || exit 1; done
	for seed in 1 2 3 4 5; do RC_PARAMS="seed=$$seed max_success=$(HISTORIES)" $(BUILD)/src/mangoscript/promises_test --gtest_brief=1 & pids="$$pids $$!"; done; \
	for pid in $$pids; do wait $$pid || exit 1; done

sanitize: packages
	cmake -G Ninja -S . -B $(BUILD)-asan -DMANGOCOURSE_SANITIZE=address,undefined > /dev/null
	cmake --build $(BUILD)-asan --target mangocourse_test promises_test mangoscript gate_test
	cd $(BUILD)-asan && ctest --output-on-failure -R '_test|case-[^cs]'
	cmake -G Ninja -S . -B $(BUILD)-tsan -DMANGOCOURSE_SANITIZE=thread > /dev/null
	cmake --build $(BUILD)-tsan --target mangocourse_test gate_test
	cd $(BUILD)-tsan && ctest --output-on-failure -R 'mangocourse_test|gate_test'

faultsoak: build
	mkdir -p $(BUILD)/faultsoak
	python3 -W ignore src/standin_fleet/faultsoak.py --binaries $(BUILD)/bin --refusals --restarts --seeds $(SEEDS) --seconds $(SECONDS) --logs $(BUILD)/faultsoak

lint: build
	bash .ci/lint $(BUILD)

update: build
	cmake --build $(BUILD) --target update-references > /dev/null

.PHONY: all help packages build test demo bench slopes soak faultsoak sanitize lint update
