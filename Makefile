VENV ?= .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/installed
export PYTHONPATH := .

.PHONY: install check test demo bench-added bench-decisions bench-capacity soak lock generate

install: $(STAMP)

$(STAMP): requirements.lock
	python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --require-hashes -r requirements.lock
	touch $(STAMP)

check: $(STAMP)
	$(PYTHON) -m black --check .
	$(PYTHON) -m ruff check .
	$(PYTHON) -m mypy

test: $(STAMP)
	$(PYTHON) -m pytest

demo: $(STAMP)
	$(PYTHON) -m scripts.demo

bench-added: $(STAMP)
	$(PYTHON) -m bench.added

bench-decisions: $(STAMP)
	$(PYTHON) -m bench.decisions

bench-capacity: $(STAMP)
	$(PYTHON) -m bench.capacity

SECONDS ?= 60
SEED ?= 1

soak: $(STAMP)
	$(PYTHON) -m scripts.soak --seconds $(SECONDS) --seed $(SEED)

lock:
	pip-compile --quiet --extra dev --generate-hashes --allow-unsafe --strip-extras \
		--output-file requirements.lock pyproject.toml
