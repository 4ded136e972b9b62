# Both commands set up all they need on a fresh machine (Python 3.11 or newer).
VENV := .venv-dev

.PHONY: demo test setup

demo: setup
	$(VENV)/bin/petrelhall demo --seconds 20

test: setup
	$(VENV)/bin/ruff check petrelhall tests
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
