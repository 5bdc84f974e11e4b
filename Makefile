VENV ?= .venv
PYTHON := $(VENV)/bin/python

.PHONY: demo test lint format venv bench

venv: $(VENV)/.installed

$(VENV)/.installed: requirements.txt requirements-dev.txt
	python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet -r requirements-dev.txt
	touch $@

demo: venv
	$(PYTHON) -m godwitturn.standins.demo

lint: venv
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/flake8 godwitturn benchmarks
	$(VENV)/bin/mypy

format: venv
	$(VENV)/bin/ruff check --fix .
	$(VENV)/bin/ruff format .

# A fixed hash seed keeps generated tests the same on each run.
test: lint
	PYTHONHASHSEED=0 $(PYTHON) -m godwitturn.tests

bench: venv
	$(PYTHON) -m benchmarks
