# The menu of the repository; `make` without a target prints it.
.PHONY: help demo test ci race bench format lint rename clean

help: ## print this menu
	@sed -n 's/^\([a-z-]*\):.*## \(.*\)/\1\t\2/p' $(MAKEFILE_LIST) | expand -t 12

demo: ## run the whole system in one process with stand-ins
	go run ./cmd/catkincove demo

test: ## run all tests
	go test ./...

ci: ## what CI runs
	bash .ci/run

race: ## race detector on the decision packages
	go test -race -short ./core/...

bench: ## benchmarks of routing, dispatch, relay and configuration
	go test -run '^$$' -bench . -benchmem ./...

format: ## format the code
	gofmt -w .

lint: ## vet and staticcheck
	go vet ./... && go tool staticcheck ./...

rename: ## rename an identifier and all its uses: make rename AT=FILE:LINE:COLUMN TO=NAME
	go run golang.org/x/tools/gopls@v0.23.0 rename -w $(AT) $(TO)

clean: ## remove build output
	rm -rf bin
