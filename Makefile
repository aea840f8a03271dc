PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin

.PHONY: help setup format lint types features deploy test proofs bench capacity demo soak

help:
	@echo 'make test      format, lint, type and behaviour checks'
	@echo 'make proofs    extended failure tests, under 10 minutes'
	@echo 'make demo      complete deployment on this machine, under a minute'
	@echo 'make bench     policy benchmarks in virtual time'
	@echo 'make capacity  resource use per unit of load, for docs/CAPACITY.md'
	@echo 'make soak      random fault injection into nodes; SOAK="--seeds 50"'

setup: $(VENV)/ready

$(VENV)/ready: requirements/dev.txt requirements/base.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements/dev.txt
	touch $(VENV)/ready

format: setup
	$(BIN)/ruff format hornbeamrudder tools

lint: setup
	$(BIN)/ruff format --check hornbeamrudder tools
	$(BIN)/flake8 hornbeamrudder tools

types: setup
	$(BIN)/mypy

features: setup
	$(BIN)/python -m tools.run_features

deploy: setup
	$(BIN)/python -m tools.check_deploy

test: lint types deploy features

proofs: setup
	HORNBEAMRUDDER_PROOFS=long $(BIN)/python -m tools.run_features

demo: setup
	$(BIN)/python -m hornbeamrudder.cli demo

bench: setup
	$(BIN)/python -m hornbeamrudder.cli bench examples/scenarios/*.yaml --out results

# Options of the soak test, such as --seed, --seeds, --minutes and --fault.
SOAK ?= --seeds 1

soak: setup
	$(BIN)/python -m hornbeamrudder.soak $(SOAK)

capacity: setup
	$(BIN)/python -m hornbeamrudder.cli capacity
