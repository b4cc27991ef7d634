# Targets used by README and by .ci/run.

PACKAGES := ./... ./bench/...

.PHONY: build test lint demo bench capacity soak

build:
	mkdir -p bin
	go build -o bin/ ./cmd/... ./bench/cmd/...

# The environment variable SKIP is a pattern of tests that are known to fail;
# see KNOWN-RED.txt.
test:
	go test -race -count=1 $${SKIP:+-skip "$$SKIP"} $(PACKAGES)

lint:
	test -z "$$(gofmt -l cmd internal platform bench)" || (gofmt -l cmd internal platform bench; exit 1)
	go vet $(PACKAGES)
	go tool staticcheck $(PACKAGES)

demo: build
	bin/demo

bench: build
	bin/measure bench

capacity: build
	bin/capacity

# New seeds each time; bin/soak -seed N repeats a run.
soak: build
	bin/soak -runs 10
