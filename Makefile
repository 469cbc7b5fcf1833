# build, test, lint and run; `make run` tries the example on this machine.
PYTHON := .venv/bin/python

.PHONY: build test lint run

build: .venv/built

.venv/built: requirements.txt
	python3 -m venv .venv
	.venv/bin/pip -q install -r requirements.txt
	cp requirements.txt .venv/built

test: build
	$(PYTHON) -m pytest

lint: build
	.venv/bin/pip -q install -r requirements-lint.txt
	.venv/bin/ruff format --check cranecleat tests examples benchmarks
	.venv/bin/ruff check cranecleat tests examples benchmarks
	.venv/bin/lint-imports --no-cache

run: build
	$(PYTHON) examples/toy.py & toy=$$!; trap "kill $$toy" EXIT; trap "exit 130" INT; trap "exit 143" TERM; \
	BALANCER_CONFIG=examples/config.json $(PYTHON) -m cranecleat
