GO ?= go
BIN := bin
FUZZ_CHECKS ?= 2000

.PHONY: all build demo test crowd lint fmt fuzz bench ci clean

all: build

build:
	$(GO) build -o $(BIN)/crocusway ./cmd/crocusway

# Build and run every role and stand-in in one process on loopback.
demo: build
	$(BIN)/crocusway demo

# The tests, with the race detector and fixed fuzz seeds.
test:
	$(GO) test -race -count=1 -timeout 20m ./...

# The tests of callers that stay within no limit. They measure memory: run them apart from
# other load.
crowd:
	$(GO) test -tags crowd -count=1 -p 1 -timeout 25m ./internal/e2e/crowd

$(BIN)/golangci-lint: tools/go.mod tools/go.sum
	cd tools && $(GO) build -o ../$(BIN)/golangci-lint github.com/golangci/golangci-lint/v2/cmd/golangci-lint

# The property tests for longer, with a seed that is printed first. Repeat a run
# with FUZZ_SEED=N.
FUZZ_SEED ?= $(shell date +%s)
fuzz:
	@echo "CROCUSWAY_FUZZ_SEED=$(FUZZ_SEED) CROCUSWAY_FUZZ_CHECKS=$(FUZZ_CHECKS)"
	CROCUSWAY_FUZZ_SEED=$(FUZZ_SEED) CROCUSWAY_FUZZ_CHECKS=$(FUZZ_CHECKS) \
		$(GO) test -count=1 -timeout 60m ./internal/storage ./internal/consensus ./internal/control \
		./internal/group ./internal/shard ./internal/pipeline ./internal/backend ./internal/peer

fmt: $(BIN)/golangci-lint
	$(BIN)/golangci-lint fmt

lint: $(BIN)/golangci-lint
	$(BIN)/golangci-lint fmt --diff
	$(BIN)/golangci-lint run

clean:
	rm -rf $(BIN)

# gopls, for "gopls rename".
$(BIN)/gopls: tools/rename/go.mod tools/rename/go.sum
	cd tools/rename && $(GO) build -o ../../$(BIN)/gopls golang.org/x/tools/gopls
