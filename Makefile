PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
READY := $(VENV)/.ready

.PHONY: demo test check bench soak binary generate lock

$(READY): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q --require-hashes -r requirements.lock
	$(BIN)/pip install -q --no-deps --no-build-isolation -e .
	touch $(READY)

demo: $(READY)
	$(BIN)/python -m demo

check: $(READY)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

test: check
	$(BIN)/python -m pytest

bench: $(READY)
	$(BIN)/python -m bench

soak: $(READY)
	$(BIN)/python -m soak run --seeds 2

binary: $(READY)
	$(BIN)/python -m tools.binary

generate: $(READY)
	PATH="$(abspath $(BIN)):$$PATH" $(BIN)/python -m grpc_tools.protoc -I src --python_out=src --grpc_python_out=src --mypy_out=src src/coursekeel/peers/peer.proto

lock: $(READY)
	$(BIN)/pip install -q pip-tools
	$(BIN)/pip-compile -q --extra dev --generate-hashes --no-emit-index-url --no-emit-find-links --strip-extras --allow-unsafe --no-header -o requirements.lock pyproject.toml
	$(BIN)/pip-compile -q --generate-hashes --no-emit-index-url --no-emit-find-links --strip-extras --allow-unsafe --no-header -o requirements-runtime.lock pyproject.toml
	$(BIN)/python -m tools.gateway_lock
