package config

import (
	"fmt"
	"time"

	"catkincove/core"
)

// Validate returns an *InvalidError with all problems of the configuration, or nil.
//
// It checks each object alone, the references between objects, and that no two targets share an address.
func (config Config) Validate() error {
	var problems []Problem
	for _, table := range config.tables {
		for _, object := range table {
			problems = append(problems, checkObject(*object)...)
			if !object.Deleted {
				problems = append(problems, config.checkReferences(*object)...)
			}
		}
	}
	problems = append(problems, config.checkAddresses()...)
	return asError(problems)
}

func (config Config) checkReferences(object Object) []Problem {
	checker := &checker{ref: object.Ref}
	switch object.Ref.Kind {
	case KindTarget:
		checker.requireDeclared(config, KindService, "Service", object.Target.Service)
		checker.requireDeclared(config, KindDataCentre, "DataCentre", object.Target.DataCentre)
	case KindPipeline:
		checker.stages(config, *object.Pipeline)
	case KindServiceLevel:
		checker.requireDeclared(config, KindPipeline, "Pipeline", object.ServiceLevel.Pipeline)
	}
	return checker.problems
}

// requireDeclared records a problem with the key unless an object of the kind has the name.
func (checker *checker) requireDeclared(config Config, kind ObjectKind, key, name string) {
	table, _ := kind.index()
	expected := fmt.Sprintf("the name of a declared %s", kind)
	checker.require(config.live(table, name) != nil, key, name, expected)
}

func (checker *checker) stages(config Config, pipeline Pipeline) {
	var minTime time.Duration
	for _, stage := range pipeline.Stages {
		checker.stage = stage.Name
		checker.requireDeclared(config, KindService, "Service", stage.Service)
		if service, known := config.Service(stage.Service); known {
			checker.stageKeys(service, stage)
			minTime += service.LeastTime
		}
	}
	checker.stage = ""
	checker.require(pipeline.Deadline > minTime, "Deadline", pipeline.Deadline,
		fmt.Sprintf("more than %s, the sum of LeastTime over its stages", minTime))
}

// stageKeys checks the keys whose meaning depends on the kind of the service.
func (checker *checker) stageKeys(service Service, stage Stage) {
	returnsPassages := service.Kind == Retrieve || service.Kind == Rerank
	checker.requireOnlyFor(returnsPassages, stage.Top > 0, "Top", stage.Top, "a number from 1", service.Kind)
	generates := service.Kind == Generate
	checker.requireOnlyFor(generates, stage.MaxTokens > 0, "MaxTokens", stage.MaxTokens, "a number from 1", service.Kind)
	calls := service.Kind == Call
	checker.requireOnlyFor(calls, stage.Path != "", "Path", stage.Path, "a path that starts with /", service.Kind)
	checker.require(stage.Path == "" || validPath(stage.Path), "Path", stage.Path, "a path that starts with /")
}

// requireOnlyFor records a problem when a key is missing where it is needed, or set where it has no meaning.
func (checker *checker) requireOnlyFor(needed, set bool, key string, found any, expected string, kind ServiceKind) {
	checker.require(!needed || set, key, found, fmt.Sprintf("%s for a service of kind %s", expected, kind))
	checker.require(needed || !set, key, found, fmt.Sprintf("no such key for a service of kind %s", kind))
}

// validPath reports whether the text is a URL path of printable ASCII without query and fragment.
func validPath(path string) bool {
	if path[0] != '/' {
		return false
	}
	for i := range len(path) {
		if path[i] <= ' ' || path[i] > '~' || path[i] == '?' || path[i] == '#' {
			return false
		}
	}
	return true
}

// checkAddresses reports targets that share an address: the process there would get the load allowed for each of them.
func (config Config) checkAddresses() []Problem {
	var problems []Problem
	targetAt := map[string]core.TargetName{}
	for _, pool := range config.Pools() {
		for _, target := range config.PoolTargets(pool) {
			other, found := targetAt[target.Address]
			if !found {
				targetAt[target.Address] = target.Name
				continue
			}
			checker := &checker{ref: Ref{KindTarget, string(target.Name)}}
			checker.require(false, "Address", target.Address, fmt.Sprintf("an address other than that of Target %s", other))
			problems = append(problems, checker.problems...)
		}
	}
	return problems
}
