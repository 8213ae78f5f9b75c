MODULES := common entry fbctl fbload fbstandin integration platform
SEED := 20261203

# Tests listed in KNOWN-RED.txt, by the first word of each entry's first line, are skipped.
KNOWN_RED := $(if $(wildcard KNOWN-RED.txt),-skip '^($(shell grep -o '^Test[A-Za-z0-9_/]*' KNOWN-RED.txt | paste -sd'|'))$$')
# Ends tests with real processes that hang. CI as a whole may take 90 minutes.
INTEGRATION_TIMEOUT := 20m
PROGRAMS := entry fbctl fbload fbstandin

# The users' bench and deployments, which stand beside the repository. Tests and CI do without them.
USERS := ../given/kit/more/system
FLEETBENCH := $(USERS)/more/bench-d17393/bin/fleetbench
DEPLOYMENTS := $(wildcard $(addprefix $(USERS)/,large/*.toml further/*.toml further-grown/*.toml grown/*.toml))
# The first deployments are still hunted before a landing.
FIRST_DEPLOYMENTS := $(wildcard $(USERS)/sites/*.toml)
WHY := regression run
DAYS := 8
JOBS := 4

.PHONY: build test lint format slopes soak measure demo run ci score hunt

build: ## build all programs into .bin
	@mkdir -p .bin
	@for p in $(PROGRAMS); do go build -o .bin/$$p ./$$p || exit 1; done
	@go build -o .bin/cuttable ./entry/cuttable

test: build ## run all tests with a fixed seed
	RAPID_SEED=$(SEED) go test $(addsuffix /...,$(addprefix ./,$(filter-out integration,$(MODULES)))) -count=1 $(KNOWN_RED)
	RAPID_SEED=$(SEED) go test ./integration/... -count=1 -timeout $(INTEGRATION_TIMEOUT) $(KNOWN_RED)

lint: .bin/golangci-lint ## check formatting and run the linter
	@for m in $(MODULES); do (cd $$m && ../.bin/golangci-lint run --allow-serial-runners ./...) || exit 1; done

format: .bin/golangci-lint ## format the code
	@for m in $(MODULES); do (cd $$m && ../.bin/golangci-lint fmt ./...) || exit 1; done

.bin/golangci-lint: tools/go.mod
	@mkdir -p .bin
	cd tools && GOWORK=off go build -o ../.bin/golangci-lint github.com/golangci/golangci-lint/v2/cmd/golangci-lint

slopes: ## run the measurements quoted in docs/CAPACITY.md
	go test -tags slopes ./entry/internal/composer -run Slopes -count=1 -v

soak: build ## run the soak test with random faults, alone and in pairs; SEED=n SOAK=duration
	SOAK=$(or $(SOAK),2m) SEED=$(SEED) go test -tags soak ./integration -run TestSoak -count=1 -v -timeout 15m

demo: build ## run the demo on a local fleet
	@scripts/fleet.sh demo

run: build ## run a local fleet for manual use
	@scripts/fleet.sh run

ci: ## run the CI checks
	@.ci/run

measure: build ## run the load experiments on a local fleet, on an otherwise idle machine; writes a table and plots to reports/
	@scripts/measure.sh $(SIZE)

.bin/gopls: tools/gopls/go.mod
	@mkdir -p .bin
	cd tools/gopls && GOWORK=off go build -o ../../.bin/gopls golang.org/x/tools/gopls

score: ## score the users' deployments on their bench, one after the other
	@for d in $(DEPLOYMENTS); do $(FLEETBENCH) score $$d --jobs $(JOBS) --why "$(WHY)" || exit 1; done

hunt: ## play DAYS drawn days of each deployment on the users' bench
	@for d in $(DEPLOYMENTS) $(FIRST_DEPLOYMENTS); do $(FLEETBENCH) hunt $$d --days $(DAYS) --jobs $(JOBS) --why "$(WHY)" || exit 1; done
