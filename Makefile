# Every target installs what it needs into .venv; SITE chooses the example site.
PYTHON ?= python3
SITE ?= strassenmeldung
BIN := .venv/bin
PACKAGES := mustardquay mustardquay-node mustardquay-cli mustardquay-standins
PROJECTS := $(PACKAGES:%=packages/%/pyproject.toml) platform/pyproject.toml
EDITABLE := $(PACKAGES:%=-e packages/%) -e platform
DEVELOPMENT := hypothesis matplotlib openai pytest pytest-asyncio pytest-xdist ruff scipy syrupy

.PHONY: install test lint format demo site bench

install: .venv/installed

.venv/installed: constraints.txt $(PROJECTS) Makefile
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --upgrade --constraint constraints.txt setuptools
	$(BIN)/pip install --quiet --no-build-isolation --constraint constraints.txt $(EDITABLE) $(DEVELOPMENT)
	touch $@

lint: .venv/installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: .venv/installed
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

test: lint
	$(BIN)/pytest -n 6

demo: .venv/installed
	$(BIN)/python -m mustardquay_standins.demos --site $(SITE)

site: .venv/installed
	@$(BIN)/python -m mustardquay_standins.sites --site $(SITE)

bench: .venv/installed
	$(BIN)/python -m benchmarks.all
