.PHONY: test lint fmt generate fuzz bench

MODULE := github.com/snipestep/snipestep

# RAPID_CHECKS is the number of cases of each property test, RAPID_TIMEOUT the time
# limit of a package with such tests, FUZZ_TIME the time of each fuzz target, and
# BENCH the regular expression that selects benchmarks.
RAPID_CHECKS ?= 2000
RAPID_TIMEOUT ?= 30m
FUZZ_TIME ?= 30s
BENCH ?= .

# Only packages with property tests accept the flag -rapid.checks.
RAPID_PACKAGES := \
	./claim \
	./configuration \
	./entry \
	./fleet \
	./intent \
	./internal/fakes \
	./loadreport \
	./local/load \
	./routing \
	./routing/admission \
	./routing/sharedrate \
	./weights

# The tests of crowdtest bound the memory of processes under load and run alone. They run also if a
# test before them has failed.
test:
	go test ./...; others=$$?; \
	go test -tags crowd -count=1 -timeout 20m ./internal/crowdtest && [ $$others -eq 0 ]

fmt:
	golangci-lint fmt ./...

lint:
	golangci-lint run ./...

generate:
	protoc -I wire/proto --go_out=. --go_opt=module=$(MODULE) wire/proto/*.proto
	protoc -I claim/proto --go_out=. --go_opt=module=$(MODULE) claim/proto/*.proto

fuzz:
	go test $(RAPID_PACKAGES) -timeout $(RAPID_TIMEOUT) -rapid.checks=$(RAPID_CHECKS)
	go test ./weights -run '^$$' -fuzz '^FuzzDecodeManifest$$' -fuzztime $(FUZZ_TIME)
	go test ./loadreport -run '^$$' -fuzz '^FuzzDecodeStrikes$$' -fuzztime $(FUZZ_TIME)
	go test ./loadreport -run '^$$' -fuzz '^FuzzDecodeRateLimits$$' -fuzztime $(FUZZ_TIME)
	go test ./loadreport -run '^$$' -fuzz '^FuzzDecodeEngineListPart$$' -fuzztime $(FUZZ_TIME)
	go test ./wire -run '^$$' -fuzz '^FuzzDatagram$$' -fuzztime $(FUZZ_TIME)

bench:
	go test ./... -run '^$$' -bench '$(BENCH)' -benchmem
