GO ?= go
BIN := bin
FUZZ_CHECKS ?= 2000

.PHONY: all build demo test lint fmt fuzz bench ci clean

all: build

build:
	$(GO) build -o $(BIN)/crocusway ./cmd/crocusway

# Build and run every role and stand-in in one process on loopback.
demo: build
	$(BIN)/crocusway demo

# The tests, with the race detector and fixed fuzz seeds.
test:
	$(GO) test -race -timeout 20m ./...

$(BIN)/golangci-lint: tools/go.mod tools/go.sum
	cd tools && $(GO) build -o ../$(BIN)/golangci-lint github.com/golangci/golangci-lint/v2/cmd/golangci-lint

fmt: $(BIN)/golangci-lint
	$(BIN)/golangci-lint fmt

lint: $(BIN)/golangci-lint
	$(BIN)/golangci-lint fmt --diff
	$(BIN)/golangci-lint run

clean:
	rm -rf $(BIN)
