# `make demo` and `make test` install all that they need on a fresh machine (Python 3.11 or newer).
VENV := .venv-dev

.PHONY: demo test setup sites

demo: setup
	$(VENV)/bin/petrelhall demo --seconds 20

test: setup
	$(VENV)/bin/ruff format --check petrelhall tests benchmarks
	$(VENV)/bin/ruff check petrelhall tests benchmarks
	$(VENV)/bin/mypy petrelhall
	$(VENV)/bin/lint-imports
	$(VENV)/bin/petrelhall schema --check deploy/operator.schema.json
	$(VENV)/bin/petrelhall check deploy/operator.json
	$(VENV)/bin/python -m pytest

setup: $(VENV)/made

$(VENV)/made: pyproject.toml
	python3 -m venv $(VENV)
	$(VENV)/bin/pip -q install -e '.[dev]'
	touch $@

# Links the bench's own files of names beside our deployments in deploy/sites, where the operators' bench needs them.
KIT ?= ../given/kit
BENCH_FILES := real.json wire.json unlock.txt

sites:
	$(if $(wildcard $(KIT)/more/mass/other/wire.json),,$(error no bench kit at $(KIT): the deployments in deploy/sites cannot be run))
	@for name in $(BENCH_FILES); do ln -sf "$(abspath $(KIT))/more/mass/other/$$name" deploy/sites/$$name; done
