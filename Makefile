# All set-up is in `make test` (what CI runs) and `make demo`.
GO ?= go
BIN := bin

.PHONY: build docs test demo bench slots matrix fmt-check lint

build:
	$(GO) build -o $(BIN)/ ./cmd/...

fmt-check:
	@bad=$$(gofmt -l $$(git ls-files '*.go' --cached --others --exclude-standard)); \
	if [ -n "$$bad" ]; then echo "not formatted: $$bad"; exit 1; fi

lint:
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

# Write the tables of docs/CONFIGURATION.md after a setting has changed.
docs:
	$(GO) test ./internal/configdoc -update

# The tests with real processes take longer than the default timeout of a package on a busy machine.
test: fmt-check lint
	$(GO) test -timeout 20m ./...

# All measurements: processes on this machine, then policies in virtual time.
bench: build
	$(BIN)/fleettest bench
	$(BIN)/fleettest policy

# Ways of dividing the slots of targets, in virtual time: some minutes of a core.
slots: build
	$(BIN)/fleettest slots

# Every fault at every step: a row for each step, the sum last.
matrix: build
	$(GO) test -count=1 -json -run '^TestMatrix' ./... | $(BIN)/fleettest matrix

# The whole system as processes on loopback, with an instance and a target
# killed in the middle; fails unless every answer and result is right.
demo: build
	$(BIN)/fleettest demo
