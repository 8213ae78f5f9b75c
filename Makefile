MODULES := common entry fbctl fbload fbstandin integration platform
SEED := 20261203

# Tests that KNOWN-RED.txt lists, by the first word of an entry's first line, are passed over.
KNOWN_RED := $(if $(wildcard KNOWN-RED.txt),-skip '^($(shell grep -o '^Test[A-Za-z0-9_/]*' KNOWN-RED.txt | paste -sd'|'))$$')
PROGRAMS := entry fbctl fbload fbstandin

.PHONY: build test lint format slopes soak measure demo run ci

build: ## build every program into .bin
	@mkdir -p .bin
	@for p in $(PROGRAMS); do go build -o .bin/$$p ./$$p || exit 1; done

test: build ## run every test, the same way each time
	RAPID_SEED=$(SEED) go test $(addsuffix /...,$(addprefix ./,$(filter-out integration,$(MODULES)))) -count=1 $(KNOWN_RED)
	RAPID_SEED=$(SEED) go test ./integration/... -count=1 $(KNOWN_RED)

lint: .bin/golangci-lint ## run the formatter's check and the linter
	@for m in $(MODULES); do (cd $$m && ../.bin/golangci-lint run --allow-serial-runners ./...) || exit 1; done

format: .bin/golangci-lint ## format the code
	@for m in $(MODULES); do (cd $$m && ../.bin/golangci-lint fmt ./...) || exit 1; done

.bin/golangci-lint: tools/go.mod
	@mkdir -p .bin
	cd tools && GOWORK=off go build -o ../.bin/golangci-lint github.com/golangci/golangci-lint/v2/cmd/golangci-lint

slopes: ## measure what docs/CAPACITY.md quotes
	go test -tags slopes ./entry/internal/composer -run Slopes -count=1 -v

soak: build ## random faults, alone and two at once; SEED=n SOAK=duration
	SOAK=$(or $(SOAK),2m) SEED=$(SEED) go test -tags soak ./integration -run TestSoak -count=1 -v -timeout 15m

demo: build ## run the demonstration on a local fleet
	@scripts/fleet.sh demo

run: build ## leave a local fleet up, to try by hand
	@scripts/fleet.sh run

ci: ## run what CI runs
	@.ci/run

measure: build ## run the experiments on a local fleet, alone on the machine: table, plots and reports/
	@scripts/measure.sh $(SIZE)

.bin/gopls: tools/gopls/go.mod
	@mkdir -p .bin
	cd tools/gopls && GOWORK=off go build -o ../../.bin/gopls golang.org/x/tools/gopls
