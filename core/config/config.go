package config

import (
	"maps"
	"slices"

	"catkincove/core"
)

// Config is an immutable snapshot of all configuration objects; its zero value is an empty configuration.
//
// Slices returned by its methods are shared and must not be changed.
type Config struct {
	revision core.Revision
	tables   [kindCount]map[string]*Object // indexed by the position of the kind in Kinds; includes tombstones
	pools    poolIndex
}

const kindCount = 7

// Positions of the kinds in Config.tables, in the order of Kinds.
const (
	teamTable = iota
	dataCentreTable
	serviceTable
	targetTable
	pipelineTable
	serviceLevelTable
	limitsTable
)

// Revision returns the store revision that this configuration reflects; 0 means none.
func (config Config) Revision() core.Revision { return config.revision }

// live returns the object unless it is absent or a tombstone.
func (config Config) live(table int, name string) *Object {
	object := config.tables[table][name]
	if object == nil || object.Deleted {
		return nil
	}
	return object
}

// Team returns the team with the name; false when it is not declared.
func (config Config) Team(name core.TeamName) (Team, bool) {
	if object := config.live(teamTable, string(name)); object != nil {
		return *object.Team, true
	}
	return Team{}, false
}

// DataCentre returns the data centre with the name; false when it is not declared.
func (config Config) DataCentre(name string) (DataCentre, bool) {
	if object := config.live(dataCentreTable, name); object != nil {
		return *object.DataCentre, true
	}
	return DataCentre{}, false
}

// Service returns the service with the name; false when it is not declared.
func (config Config) Service(name string) (Service, bool) {
	if object := config.live(serviceTable, name); object != nil {
		return *object.Service, true
	}
	return Service{}, false
}

// Target returns the target with the name; false when it is not declared.
func (config Config) Target(name core.TargetName) (Target, bool) {
	if object := config.live(targetTable, string(name)); object != nil {
		return *object.Target, true
	}
	return Target{}, false
}

// Pipeline returns the pipeline with the name; false when it is not declared.
func (config Config) Pipeline(name string) (Pipeline, bool) {
	if object := config.live(pipelineTable, name); object != nil {
		return *object.Pipeline, true
	}
	return Pipeline{}, false
}

// ServiceLevel returns the service level of the pipeline; false when it is not declared.
func (config Config) ServiceLevel(pipeline string) (ServiceLevel, bool) {
	if object := config.live(serviceLevelTable, pipeline); object != nil {
		return *object.ServiceLevel, true
	}
	return ServiceLevel{}, false
}

// Limits returns the declared limits, or DefaultLimits when none are declared.
func (config Config) Limits() Limits {
	if object := config.live(limitsTable, LimitsName); object != nil {
		return *object.Limits
	}
	return DefaultLimits()
}

// InService reports whether the target belongs to the pool and both the target and its data centre have the state In.
func (config Config) InService(pool core.PoolID, target core.TargetName) bool {
	object := config.live(targetTable, string(target))
	if object == nil || object.Target.State != In || object.Target.pool() != pool {
		return false
	}
	dataCentre := config.live(dataCentreTable, pool.DataCentre)
	return dataCentre != nil && dataCentre.DataCentre.State == In
}

// Object returns the object with the reference, which may be a tombstone; false when no ticket ever declared or deleted it.
func (config Config) Object(ref Ref) (Object, bool) {
	table, known := ref.Kind.index()
	if !known {
		return Object{}, false
	}
	object := config.tables[table][ref.Name]
	if object == nil {
		return Object{}, false
	}
	return object.clone(), true
}

// Objects returns all objects with their tombstones, ordered by kind and name.
func (config Config) Objects() []Object {
	var objects []Object
	for _, table := range config.tables {
		for _, name := range slices.Sorted(maps.Keys(table)) {
			objects = append(objects, table[name].clone())
		}
	}
	return objects
}

// Names returns the names of all declared objects of the kind, sorted, without tombstones.
func (config Config) Names(kind ObjectKind) []string {
	table, known := kind.index()
	if !known {
		return nil
	}
	var names []string
	for _, name := range slices.Sorted(maps.Keys(config.tables[table])) {
		if config.live(table, name) != nil {
			names = append(names, name)
		}
	}
	return names
}
