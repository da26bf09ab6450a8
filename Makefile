PYTHON ?= python3
SITE ?= tsehay
BIN = .venv/bin
STAMP = .venv/.installed

.PHONY: demo test bench generate binary format clean

$(STAMP): pyproject.toml requirements.lock
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $(STAMP)

demo: $(STAMP) $(if $(BINARY),binary)
	$(BIN)/python -m demo.run --site $(SITE) $(if $(BINARY),--binary dist/bergamotshore)

test: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/python -m pytest

bench: $(STAMP)
	$(BIN)/python -m bench.routing
	$(BIN)/python -m bench.path
	$(BIN)/python -m bench.tasks
	$(BIN)/python -m bench.scale
	$(BIN)/python -m bench.capacity
	$(BIN)/python -m bench.jobcost

generate: $(STAMP)
	$(BIN)/python tools/generate_schema.py

binary: $(STAMP)
	$(BIN)/python tools/build_binary.py dist/bergamotshore

format: $(STAMP)
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

clean:
	rm -rf .venv build dist
