# Each target also works in a fresh clone, without `make setup` first.
PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: test lint format demo bench binary setup soak promises mutants

setup: $(STAMP)

$(STAMP): pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check --editable '.[dev]'
	touch $(STAMP)

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
	PYTHONPATH=src $(BIN)/lint-imports

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

test: $(STAMP)
	$(BIN)/python -m features

demo: $(STAMP)
	$(BIN)/python -m demo

bench: $(STAMP)
	$(BIN)/python -m bench

binary: $(STAMP)
	$(BIN)/python -m binary

# The first seed is the current time, so that each run uses new seeds.
soak: $(STAMP)
	$(BIN)/python -m soak $$(date +%s) --count 4

promises: $(STAMP)
	$(BIN)/python -m features.promises --steps 10000

mutants: $(STAMP)
	$(BIN)/python -m features.promises.mutants
