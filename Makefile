PYTHON ?= python3
BIN := .venv/bin

.PHONY: demo test format lint types check dist clean

.venv/.installed: requirements.txt requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install -q -r requirements.txt -r requirements-dev.txt
	$(BIN)/pip install -q --no-deps --no-build-isolation -e .
	touch $@

demo: .venv/.installed
	$(BIN)/python demo/run.py

test: .venv/.installed dist
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8 src tests bench demo platform
	$(BIN)/mypy
	CI=true $(BIN)/python tests/run.py
	$(BIN)/python -m pytest tests/smoke_dist.py

format: .venv/.installed
	$(BIN)/ruff check --fix-only .
	$(BIN)/ruff format .

dist: dist/papayastall

dist/papayastall: .venv/.installed $(wildcard src/papayastall/*)
	mkdir -p dist
	rm -rf build
	$(BIN)/shiv -q --no-build-isolation -r requirements.txt . \
		-e papayastall.cli:main -o $@ -p '/usr/bin/env python3'

clean:
	rm -rf .venv build dist
