# `make` builds; `make test` lints and runs all tests; `make stress` runs hundreds of reloads at bad moments;
# `make run` serves deploy/ajp.toml in the foreground.
PYTHON ?= python3
VENV = .venv
CONFIG ?= deploy/ajp.toml

RELOADS ?= 400
SEED ?= 1

.PHONY: build lint test stress run

build: $(VENV)/installed $(VENV)/installed-dev

$(VENV)/bin/python:
	$(PYTHON) -m venv $(VENV)

$(VENV)/installed: requirements.txt | $(VENV)/bin/python
	$(VENV)/bin/pip -q install -r requirements.txt
	cp requirements.txt $@

$(VENV)/installed-dev: requirements-dev.txt | $(VENV)/bin/python
	$(VENV)/bin/pip -q install -r requirements-dev.txt
	cp requirements-dev.txt $@

lint: build
	$(VENV)/bin/ruff check ochrehoist tests

test: lint
	$(VENV)/bin/python -m pytest -q

stress: build
	RELOADS=$(RELOADS) SEED=$(SEED) $(VENV)/bin/python -m pytest -q tests/test_reload_stress.py

run: $(VENV)/installed
	$(VENV)/bin/python -m ochrehoist --config $(CONFIG) run
