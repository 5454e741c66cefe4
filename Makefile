GOLANGCI_LINT_VERSION := v2.15.0
GOBIN ?= $(shell go env GOPATH)/bin
GOLANGCI_LINT := $(GOBIN)/golangci-lint-$(GOLANGCI_LINT_VERSION)
GOPLS_VERSION := v0.23.0
GOPLS := $(GOBIN)/gopls-$(GOPLS_VERSION)

.PHONY: test format vet lint race build fuzz golden soak tools

## test runs everything that CI runs.
test: format vet lint race build

## format fails when a file isn't formatted.
format:
	@f=$$(gofmt -l $$(git ls-files '*.go')); if [ -n "$$f" ]; then echo "not formatted: $$f"; exit 1; fi

vet:
	go vet ./...

lint: $(GOLANGCI_LINT)
	$(GOLANGCI_LINT) run ./...

$(GOLANGCI_LINT):
	GOBIN=$(GOBIN) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_LINT_VERSION)
	mv $(GOBIN)/golangci-lint $@

## race runs the tests but for those that KNOWN-RED.txt lists.
race:
	@bash .ci/race

build:
	go build -o bin/cuminwick .

## tools installs the linter and the language server, which renames identifiers.
tools: $(GOLANGCI_LINT) $(GOPLS)

$(GOPLS):
	GOBIN=$(GOBIN) go install golang.org/x/tools/gopls@$(GOPLS_VERSION)
	mv $(GOBIN)/gopls $@

## golden rewrites the golden files from the present output.
golden:
	go test ./... -update

## soak soaks fifty fresh seeds in real processes, five at a time.
soak:
	@s=$$(date +%s); echo "first seed $$s"; go test ./internal/soak/runner -run TestSoak -soak.seeds 50 -soak.first $$s -parallel 5 -timeout 30m -v
