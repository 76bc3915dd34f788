VENV ?= .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/installed
export PYTHONPATH := .

.PHONY: install check test demo bench-load bench-added bench-relaying bench-decisions bench-capacity bench-quota-bytes soak lock generate bench-slots bench-membership

install:
	@cmp -s requirements.lock $(STAMP) || $(MAKE) --no-print-directory $(STAMP)

.PHONY: $(STAMP)
$(STAMP):
	python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --require-hashes -r requirements.lock
	cp requirements.lock $(STAMP)

check: install
	$(PYTHON) -m black --check .
	$(PYTHON) -m ruff check .
	$(PYTHON) -m mypy

test: install
	$(PYTHON) -m pytest

demo: install
	$(PYTHON) -m scripts.demo

bench-added: install
	$(PYTHON) -m bench.added

bench-load: install
	$(PYTHON) -m bench.load

bench-relaying: install
	$(PYTHON) -m bench.relaying

bench-decisions: install
	$(PYTHON) -m bench.decisions

bench-slots: install
	$(PYTHON) -m bench.slots

bench-membership: install
	$(PYTHON) -m bench.membership

bench-capacity: install
	$(PYTHON) -m bench.capacity

bench-quota-bytes: install
	$(PYTHON) -m bench.quota_bytes

SECONDS ?= 60
SEED ?= 1
ON ?= platform

soak: install
	$(PYTHON) -m scripts.soak --seconds $(SECONDS) --seed $(SEED) --on $(ON)

lock:
	pip-compile --quiet --extra dev --generate-hashes --allow-unsafe --strip-extras \
		--output-file requirements.lock pyproject.toml

generate: install
	$(PYTHON) -m grpc_tools.protoc -Icactusvane/peers/generated=cactusvane/peers \
		--python_out=. --grpc_python_out=. cactusvane/peers/generated/peers.proto
