.PHONY: build test lint run toy

# As deploy/balancer.toml does: the operators' fleet asks for a program that is linked against the C library.
export CGO_ENABLED = 1
LINKED = -ldflags=-linkmode=external

build:
	mkdir -p bin && go build $(LINKED) -o bin/ ./cmd/... ./examples/toyserver

test:
	go test -count=1 ./...

lint:
	test -z "$$(gofmt -l .)"
	go vet ./...

# A dispatcher with the example configuration; `make toy` in another terminal plays what stands round it.
run: build
	mkdir -p /tmp/rowanlink && LB_CONFIG=examples/config.json LB_STATE=/tmp/rowanlink exec bin/rowanlink

toy: build
	exec bin/toyserver
