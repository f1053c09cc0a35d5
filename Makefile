.PHONY: test lint fmt generate fuzz

test:
	go test ./...

fmt:
	gofumpt -l -w .

lint:
	golangci-lint run ./...

generate:
	protoc -I wire/proto --go_out=. --go_opt=module=github.com/snipestep/snipestep wire/proto/*.proto
	protoc -I claim/proto --go_out=. --go_opt=module=github.com/snipestep/snipestep claim/proto/*.proto

fuzz:
	go test ./... -run 'Fuzz|Stateful|Rapid' -rapid.checks=2000
