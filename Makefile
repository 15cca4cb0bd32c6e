# Each target needs python3 (3.11) and make only; the first one run makes the environment.
VENV ?= .venv
PYTHON := $(VENV)/bin/python
PACKAGES := core standins agent control entry daemon cli
empty :=
space := $(empty) $(empty)
export PYTHONPATH := $(subst $(space),:,$(foreach p,$(PACKAGES),$(CURDIR)/packages/hemlockdock-$(p)) $(CURDIR)/platform)

.PHONY: help setup test format lint imports unit counts demo serve bench fuzz soak mutants slopes store-days acceptance docs clean

help:
	@grep -E '^[a-z]+:.*##' $(MAKEFILE_LIST) | sed -E 's/:.*## /\t/'

$(VENV)/.ready: requirements.lock $(wildcard packages/*/pyproject.toml)
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --requirement requirements.lock
	$(PYTHON) -m pip install --quiet --no-build-isolation --no-deps \
	    $(foreach p,$(PACKAGES),--editable packages/hemlockdock-$(p))
	touch $@

ifdef NOSETUP  # a second work tree that shares an environment
setup:
else
setup: $(VENV)/.ready ## make the environment
endif

test: setup ## formatter, linter, import rule and all tests
	$(PYTHON) -m black --quiet --check packages platform tools samples
	$(PYTHON) -m ruff check --quiet packages platform tools samples
	$(PYTHON) tools/check_imports.py
	$(PYTHON) tools/count_lines.py
	$(PYTHON) tools/run_tests.py

format: setup ## rewrite the sources by the formatter
	$(PYTHON) -m black --quiet packages platform tools samples
	$(PYTHON) -m ruff check --quiet --fix packages platform tools samples

demo: setup ## the main job in one process, with stand-ins, over real HTTP
	$(PYTHON) -m hemlockdock_cli demo

serve: setup ## the same, left running
	$(PYTHON) -m hemlockdock_cli demo --serve

bench: setup ## write build/bench.jsonl; fail past a bound
	$(PYTHON) tools/run_benchmarks.py

fuzz: setup ## longer stateful fuzzing with a printed seed
	$(PYTHON) tools/run_fuzz.py

soak: setup ## faults on real processes, by seeds; SOAK="--seeds 50 --first 1000"
	$(PYTHON) tools/run_soak.py $(SOAK)

mutants: setup ## show that the deliberate faults are caught
	$(PYTHON) tools/run_mutants.py

acceptance: setup ## both sample deployments, end to end
	$(PYTHON) samples/run_acceptance.py

slopes: setup ## measure the slopes that docs/CAPACITY.md works from
	$(PYTHON) tools/run_slopes.py

store-days: setup ## simulated days of models that only the weight store has; DAYS="--seeds 100"
	$(PYTHON) tools/run_store_days.py $(DAYS)
