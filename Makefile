# Targets that need .venv create it, so that each works as the first command on a fresh clone.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := packages/mimosapoint packages/mimosapoint-node packages/mimosapoint-cli packages/mimosapoint-standins platform
# The nodes on the users' platform install the first lock file only.
LOCKS := requirements.lock requirements-report.lock
SEEDS ?= 25
UV := $(PYTHON) -m uv

.PHONY: setup demo test lint format lock bench fuzz faults slopes soak

setup: $(VENV)/.ready

$(VENV)/.ready: $(LOCKS) $(wildcard packages/*/pyproject.toml platform/pyproject.toml)
	@$(UV) --version >/dev/null 2>&1 || $(PYTHON) -m pip install --quiet uv
	@$(UV) venv --quiet --allow-existing --python 3.11 $(VENV)
	@$(UV) pip install --quiet --python $(BIN)/python --require-hashes --no-deps $(addprefix -r ,$(LOCKS))
	@$(UV) pip install --quiet --python $(BIN)/python --no-deps --no-build-isolation $(addprefix -e ,$(PACKAGES))
	@touch $@

demo: setup
	@$(BIN)/python -m tools.demo

test: setup
	@$(BIN)/python tools/run_tests.py

# Kill and freeze separate processes and cause outages; CASES='"owner killed"' runs a part of the cases.
RUNS ?= 1
faults: setup
	@$(BIN)/python -m tools.faults $(CASES) --runs $(RUNS)

# Generate SEEDS fault schedules, run each on a site in memory and print a summary.
fuzz: setup
	@MIMOSAPOINT_FUZZ_EXAMPLES=$(SEEDS) $(BIN)/python tools/run_tests.py mimosapoint.node.tests.test_schedules

# Run real nodes on loopback under random external faults: SEEDS=50, or SECONDS=300 with new seeds.
SECONDS ?= 0
FIRST ?= 1001
soak: setup
	@$(BIN)/python -m tools.soak --seeds $(SEEDS) --first $(FIRST) --seconds $(SECONDS)

lint: setup
	@$(BIN)/ruff check --quiet .
	@$(BIN)/black --quiet --check .
	@echo "lint clean"

# Run every policy in a simulation; QUICK=1 runs two seeds instead of five.
bench: setup
	@$(BIN)/python -m benchmarks.decisions $(if $(QUICK),--quick)

# Measure how the cost of a node grows, on real processes; print a table and write JSON to bench-results/.
slopes: setup
	@$(BIN)/python -m benchmarks.slopes

format: setup
	@$(BIN)/black --quiet .
	@$(BIN)/ruff check --quiet --fix .

# Resolve the dependencies again; the lock files hold their hashes and name no package index. The
# second one has what the extra `report` of the command line adds.
EXPORT := $(UV) export --frozen --no-emit-workspace --no-annotate --no-header --quiet
lock:
	@$(UV) lock --quiet --upgrade
	@$(EXPORT) --all-packages > requirements.lock
	@$(EXPORT) --package mimosapoint-cli --extra report --no-dev \
		$(addprefix --prune ,mimosapoint mimosapoint-node fire httpcore) > requirements-report.lock
