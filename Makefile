# What a checkout needs: an environment, tests, lint, and one front to run.

PYTHON = .venv/bin/python

.PHONY: build test lint run counters clean

build: .venv/made-from .venv/tested-with

.venv/made-from: requirements.txt
	python3 -m venv .venv
	.venv/bin/pip -q install -r requirements.txt
	cp requirements.txt $@

.venv/tested-with: requirements-test.txt .venv/made-from
	.venv/bin/pip -q install -r requirements-test.txt
	cp requirements-test.txt $@

test: build
	$(PYTHON) -m pytest -q

lint: build
	.venv/bin/ruff check marbleglade tests

# One front, told by the file that CONFIG names: make run CONFIG=front.json
run: build
	GW_CONFIG=$(CONFIG) exec $(PYTHON) -O -m marbleglade

# Has one front print its counters on its log: make counters PID=1234
counters:
	kill -USR1 $(PID)

clean:
	rm -rf .venv .pytest_cache .ruff_cache
	find marbleglade tests -name __pycache__ -prune -exec rm -rf {} +
