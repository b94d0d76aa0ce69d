# VENV may name an environment that already holds the locked dependencies.
VENV ?= .venv
PY := $(VENV)/bin/python
SOURCES := apricotgap standins simulation demo proof measures bench soak tests

.PHONY: setup lint format test demo simulation model-check fault-matrix measures bench soak fuzz binary ci

setup: $(VENV)/.installed

$(VENV)/.installed: requirements/lock.txt pyproject.toml
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install -q -r requirements/lock.txt
	touch $@

format: setup
	$(PY) -m ruff format $(SOURCES)
	$(PY) -m ruff check --fix $(SOURCES)

lint: setup
	$(PY) -m ruff format --check $(SOURCES)
	$(PY) -m ruff check $(SOURCES)
	$(PY) -m mypy

test: setup
	$(PY) -m pytest

demo: setup
	$(PY) -m demo
	$(PY) -m demo.platform_day

simulation: setup
	$(PY) -m simulation overload --seeds $(or $(SEEDS),3)
	$(PY) -m simulation rounds --seeds $(or $(SEEDS),3)

model-check: setup
	$(PY) -m proof.model_check

fault-matrix: setup
	$(PY) -m proof.fault_matrix

measures: setup
	$(PY) -m measures

bench: setup
	$(PY) -m bench

binary: setup
	rm -rf build/site && mkdir -p build dist
	$(PY) -m pip install -q --no-deps --target build/site .
	$(PY) -m shiv -q -c apricotgap -o dist/apricotgap --site-packages build/site -r requirements/runtime.txt

# New inputs for every decoder, ten minutes in all unless FUZZ_S says otherwise.
fuzz: setup
	FUZZ_S=$(or $(FUZZ_S),600) FUZZ_SEED=$(or $(FUZZ_SEED),0) \
		$(PY) -m pytest tests/test_decoder_fuzz.py -k returns_its_type -s

soak: setup
	$(PY) -m soak --seed $(or $(SEED),1) --seeds $(or $(SEEDS),10)
