# `make demo` and `make test` need only Python 3.11 and make.
PYTHON ?= python3.11
VENV ?= .venv
DEPLOYMENT ?= cedal
COUNT ?= 5
SECONDS ?= 30
NODES ?= 6
CONTROLS ?= 3
RUN = $(VENV)/bin/python
READY = $(VENV)/.ready

.PHONY: demo test lint generated format measure slopes soak

$(READY): requirements-dev.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check -r requirements-dev.lock
	$(VENV)/bin/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $(READY)

demo: $(READY)
	$(RUN) -m bench.demo --deployment $(DEPLOYMENT)

test: $(READY) lint generated
	$(RUN) -m pytest

lint: $(READY)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/lint-imports

generated: $(READY)
	$(RUN) tools/generate.py --check

format: $(READY)
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

measure: $(READY)
	$(RUN) -m bench.measure --deployment $(DEPLOYMENT) --arms all

slopes: $(READY)
	$(RUN) -m bench.slopes

# With SEED only its faults are played again, with FAILED the listed ones.
soak: $(READY)
	failed=0; $(RUN) platform/soak.py --seconds $(SECONDS) \
		--nodes $(NODES) --controls $(CONTROLS) \
		$(if $(SEED),--seed $(SEED),--count $(COUNT)) \
		$(if $(FAILED),--failed) || failed=1; \
	$(if $(SEED)$(FAILED),,$(RUN) -m pytest -m soak \
		-o faulthandler_timeout=3600 || failed=1;) exit $$failed
