# `make` builds; `make test` lints and runs all tests; `make stress` reloads the configuration hundreds of times while requests run,
# `make kills` thousands of kills of a worker with a store;
# `make site-schedules` losses of sites on virtual time from seeds, `make restarts` thousands of restarts with folders lost;
# `make faults` scenarios of several workers with faults between them, `make schedules` the same on virtual time;
# `make upgrade` a worker of an earlier release replaced by this one;
# `make run` serves deploy/ajp.toml in the foreground.
PYTHON ?= python3
VENV = .venv
CONFIG ?= deploy/ajp.toml

RELOADS ?= 400
SEED ?= 1

KILLS ?= 2000

# Test files side by side: the tests wait far more than they work, so also on a machine of one core.
JOBS ?= 7

SEEDS ?= 20
SCHEDULES ?= 10000
SITE_SCHEDULES ?= 1000
RESTARTS ?= 2000

.PHONY: build lint test stress kills faults schedules site-schedules restarts orders upgrade run sites

build: $(VENV)/installed $(VENV)/installed-dev

$(VENV)/bin/python:
	$(PYTHON) -m venv $(VENV)

$(VENV)/installed: requirements.txt | $(VENV)/bin/python
	$(VENV)/bin/pip -q install -r requirements.txt
	cp requirements.txt $@

# Tests and tools; with the libraries of the planner, which the worker does not need.
$(VENV)/installed-dev: requirements-dev.txt pyproject.toml | $(VENV)/bin/python
	$(VENV)/bin/pip -q install -r requirements-dev.txt -e '.[plan]'
	cp requirements-dev.txt $@

lint: build
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check ochrehoist tests benchmarks
	$(VENV)/bin/mypy

test: lint
	$(VENV)/bin/python tests/known_red.py -q -n $(JOBS)

stress: build
	RELOADS=$(RELOADS) SEED=$(SEED) $(VENV)/bin/python -m pytest -q tests/app/test_reload_stress.py

kills: build
	$(VENV)/bin/python -m benchmarks store-kills $(KILLS)

faults: build
	$(VENV)/bin/python -m ochrehoist lab sweep all --seeds $(SEEDS) --jobs $(JOBS)

schedules: build
	$(VENV)/bin/python -m ochrehoist lab seeds --count $(SCHEDULES) --jobs $(JOBS)

site-schedules: build
	$(VENV)/bin/python -m ochrehoist lab sites --count $(SITE_SCHEDULES) --jobs $(JOBS)

restarts: build
	$(VENV)/bin/python -m benchmarks recovery restarts $(RESTARTS) --jobs $(JOBS)

orders: build
	$(VENV)/bin/python -m ochrehoist lab orders

# Needs the history: the earlier release runs from a worktree of its revision.
upgrade: build
	$(VENV)/bin/python -m benchmarks upgrade

# What the bench wants beside a site file. It is the kit's, and never committed.
KIT = ../given/kit
BESIDE = real.json wire.json unlock.txt

sites:
	@for f in $(BESIDE); do test -r $(KIT)/sites/$$f || { echo "make sites: there is no $(KIT)/sites/$$f: the kit is not here" >&2; exit 2; }; done
	cd $(KIT)/sites && cp -f $(BESIDE) $(CURDIR)/deploy/sites/

run: $(VENV)/installed
	$(VENV)/bin/python -m ochrehoist --config $(CONFIG) run
