PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: install lint format test matrix bench experiment demo soak clean

install: $(STAMP)

$(STAMP): requirements.lock requirements-dev.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -r requirements-dev.lock
	$(BIN)/pip install -q --no-deps --no-build-isolation -e .
	touch $(STAMP)

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

test: $(STAMP)
	$(BIN)/pytest -n 5 --dist loadfile -q -m "not crowd"
	$(BIN)/pytest -q -m crowd

matrix: $(STAMP)
	$(BIN)/pytest -n 5 --dist loadfile -q -m matrix --matrix

bench: $(STAMP)
	$(BIN)/python -m benchmarks

experiment: $(STAMP)
	$(BIN)/pip install -q -r requirements-plots.lock
	$(BIN)/python -m benchmarks.edge_experiment

soak: $(STAMP)
	$(BIN)/python -m soak $(SOAK_ARGS)

demo: $(STAMP)
	$(BIN)/python -m standins.demo $(DEMO_ARGS)

clean:
	rm -rf $(VENV) .mypy_cache .pytest_cache .ruff_cache .hypothesis
