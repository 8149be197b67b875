# Entry points: `make demo` and `make test` need nothing but a Debian machine.

BUILD := build
SOURCES := $(shell git ls-files --cached --others --exclude-standard '*.h' '*.cpp')

.PHONY: deps build demo test soak fault-soak bench capacity format check-format lint clean

deps:
	scripts/install-deps.sh

build: deps
	cmake -S . -B $(BUILD) -G Ninja > /dev/null
	ninja -C $(BUILD)

OPERATOR ?= bibliobus

demo: build
	$(BUILD)/standins/Demo --build=$(BUILD) --operator_name=$(OPERATOR)

test: build
	scripts/run-tests.sh $(BUILD)

# Runs the properties with fresh seeds, which are printed.
soak: build
	scripts/soak.sh $(BUILD)

# Disturbs the packet path's real processes from outside and checks the
# promises; SEED is the first of SEEDS seeds. RESTORATIONS=false draws the days of
# seeds from before the store could be restored from a copy, EVACUATIONS=false
# those from before failure domains were evacuated.
SEED ?= 1
SEEDS ?= 50
SECONDS_EACH ?= 8
RESTORATIONS ?= true
EVACUATIONS ?= true

fault-soak: build
	$(BUILD)/standins/FaultSoak --build=$(BUILD) --seed=$(SEED) --seeds=$(SEEDS) --seconds_each=$(SECONDS_EACH) --restorations=$(RESTORATIONS) --evacuations=$(EVACUATIONS)

# Measures the policy against its bounds, beside a baseline; SEED chooses the
# arrivals.
bench: build
	$(BUILD)/test/performance/PolicyBench $(SEED)
	$(BUILD)/test/performance/FlowCosts

# Measures what docs/CAPACITY.md is worked out from.
capacity: build
	$(BUILD)/test/performance/Capacity
	$(BUILD)/test/performance/FlowCosts

format:
	clang-format -i $(SOURCES)

check-format: deps
	clang-format --dry-run --Werror $(SOURCES)

# The linter gets a compile database of its own: it cannot read the compiler's
# precompiled headers.
lint: deps
	cmake -S . -B $(BUILD)/lint -G Ninja -DCMAKE_CXX_COMPILER=clang++ \
	  -DCMAKE_DISABLE_PRECOMPILE_HEADERS=ON > /dev/null
	run-clang-tidy -quiet -p $(BUILD)/lint '.*/(packages|standins|platform)/.*\.cpp$$' > $(BUILD)/lint.log 2>&1 \
	  || { grep -E 'warning:|error:' $(BUILD)/lint.log | sort -u; exit 1; }

clean:
	rm -rf $(BUILD)
