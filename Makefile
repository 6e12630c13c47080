.PHONY: build test lint catalogue run toy system system-toy chaos-cluster chaos-serving random-register random-members mutants soak soak-reduce

# As deploy/balancer.toml does: the users' machines ask for a program that is linked against the C library.
export CGO_ENABLED = 1
LINKED = -ldflags=-linkmode=external

build:
	mkdir -p bin && go build $(LINKED) -o bin/ ./cmd/... ./examples/toyserver

# The tests of webhook/dispatcher/e2e and test/integration build the programs themselves, which the test cache does
# not see. Those of several processes run last and one package at a time: their leases are short.
test:
	go test -count=1 $$(go list ./... | grep -v /test/integration)
	go test -count=1 -p 1 -timeout 30m ./test/integration/...

# Random faults at a cluster of real members: N seeds, from SEED on where it is given.
chaos-cluster:
	ROWAN_HUNT=$(or $(N),10) ROWAN_SEED=$(SEED) go test -count=1 -timeout 0 -v -run TestChaos ./test/integration/chaos

# The same at a whole serving system of real processes.
chaos-serving:
	ROWAN_HUNT=$(or $(N),10) ROWAN_SEED=$(SEED) go test -count=1 -timeout 0 -v -run TestChaos ./test/integration/serving

# Timelines of faults that overlap and come in series, at whole serving systems: N seeds, from SEED on where it is given, four
# at a time, with three core machines or CORES=5. Those that broke a rule are written to SOAK_DIR; TIMELINE=FILE plays one again, and soak-reduce cuts it down.
SOAK_DIR ?= /tmp
soak:
	ROWAN_SOAK=$(or $(N),10) ROWAN_SEED=$(SEED) ROWAN_SOAK_DIR=$(SOAK_DIR) ROWAN_TIMELINE=$(TIMELINE) ROWAN_SOAK_CORES=$(CORES) \
		go test -count=1 -timeout 0 -parallel 4 -v -run 'TestSoak$$' ./test/integration/serving
soak-reduce:
	ROWAN_REDUCE=1 ROWAN_SOAK_CORES=$(CORES) ROWAN_TIMELINE=$(TIMELINE) go test -count=1 -timeout 0 -v -run 'TestSoak$$' ./test/integration/serving

# Random histories of the register: N of three machines and N of five.
random-register:
	go test -count=1 -timeout 0 -v -run 'TestRandomHistories$$' ./serving/register -rapid.checks=$(or $(N),1000) | grep -v '/history'

# Random histories of faults among members of a system: N of them.
random-members:
	go test -count=1 -timeout 0 -v -run 'TestMembers_RecoverFromFaults$$' ./serving/member -rapid.checks=$(or $(N),1000) | grep -v 'draw'

# Guards of the control plane taken out of the code, one at a time: a test has to find each.
mutants:
	go test -count=1 -v ./test/integration/mutants | grep -E '^ *---|found by|no test fails'

lint:
	test -z "$$(gofmt -l .)"
	go vet ./...
	GOLANGCI_LINT_CACHE=$(CURDIR)/bin/lint-cache go tool -modfile=tools/go.mod golangci-lint run --allow-parallel-runners ./...

# Generates the lists of settings, log events and result codes in docs/ from the code. What was written by hand beside
# each entry stays.
catalogue:
	go run ./serving/catalogue

# A dispatcher with the example configuration; `make toy` in another terminal plays the platform and two destinations.
run: build
	mkdir -p /tmp/rowanlink && LB_CONFIG=examples/config.json LB_STATE=/tmp/rowanlink exec bin/rowanlink

toy: build
	exec bin/toyserver

# The whole serving system on this machine's loopback addresses; `make system-toy` in another terminal plays the
# endpoints and activates the first configuration.
system: build
	exec examples/system/start

system-toy: build
	exec bin/rowan-endpointsim examples/system/endpoints.toml
