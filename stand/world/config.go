package world

import (
	"time"

	"catkincove/core"
	"catkincove/core/config"
)

// Cold starts of model targets, and the ticket that declares the configuration; maxColdRunning is above the declared cold
// limit, because a target notices a cancelled request a little later than the daemon that cancelled it.
const (
	maxColdRunning = 2
	warmAfter      = 4
	configTicket   = 1
)

var services = []config.Service{
	{Name: "encode", Kind: config.Encode, Model: "encoder", Capacity: 16, ColdLimit: 1, WarmAfter: warmAfter, LeastTime: 3 * time.Millisecond, MayRepeat: true},
	{Name: "retrieve", Kind: config.Retrieve, Model: "retriever", Capacity: 16, ColdLimit: 1, WarmAfter: warmAfter, LeastTime: 3 * time.Millisecond, MayRepeat: true},
	{Name: "rerank", Kind: config.Rerank, Model: "reranker", Capacity: 16, ColdLimit: 1, WarmAfter: warmAfter, LeastTime: 3 * time.Millisecond, MayRepeat: true},
	{Name: "generate", Kind: config.Generate, Model: "generator", Capacity: 8, ColdLimit: 1, WarmAfter: warmAfter, LeastTime: 100 * time.Millisecond, MayRepeat: true},
	{Name: "booking", Kind: config.Call, Capacity: 8, ColdLimit: 8, LeastTime: 2 * time.Millisecond},
	{Name: "ledger", Kind: config.Call, Capacity: 8, ColdLimit: 8, LeastTime: 2 * time.Millisecond, MayRepeat: true},
	{Name: "stock", Kind: config.Call, Capacity: 8, ColdLimit: 8, LeastTime: 2 * time.Millisecond, MayRepeat: true},
}

var pipelines = []config.Pipeline{
	{Name: "assistant", Deadline: 5 * time.Second, Stages: []config.Stage{
		{Name: "encode", Service: "encode"},
		{Name: "retrieve", Service: "retrieve", Top: 8},
		{Name: "rerank", Service: "rerank", Top: 3},
		{Name: "generate", Service: "generate", MaxTokens: 64},
	}},
	{Name: "lookup", Deadline: 5 * time.Second, Stages: []config.Stage{
		{Name: "stock", Service: "stock", Path: "/stock"},
		{Name: "generate", Service: "generate", MaxTokens: 64},
	}},
	{Name: "booking", Deadline: 5 * time.Second, Stages: []config.Stage{
		{Name: "ledger", Service: "ledger", Path: "/ledger"},
		{Name: "booking", Service: "booking", Path: "/booking"},
	}},
}

var teams = []config.Team{{Name: "fans", Weight: 1}, {Name: "cloakroom", Weight: 1}, {Name: "branches", Weight: 2}}

var limits = config.Limits{
	RetriesPerRequest: 2, RetryRatio: 0.1, QueueLength: 200, BodyBytes: 1 << 20,
	SameRegionDelay: 2 * time.Millisecond, OtherRegionDelay: 40 * time.Millisecond,
}

// Config returns the configuration of the running platform, with all objects as set by ticket 1.
func (world *World) Config() []config.Object {
	var objects []config.Object
	add := func(kind config.ObjectKind, name string, object config.Object) {
		object.Ref, object.Ticket = config.Ref{Kind: kind, Name: name}, configTicket
		objects = append(objects, object)
	}
	add(config.KindLimits, "Default", config.Object{Limits: new(limits)})
	for _, team := range teams {
		add(config.KindTeam, string(team.Name), config.Object{Team: &team})
	}
	for _, dataCentre := range world.dataCentres {
		add(config.KindDataCentre, dataCentre.Name, config.Object{DataCentre: &dataCentre})
	}
	for _, service := range services {
		service.Capacity = world.settings[service.Name].Capacity
		add(config.KindService, service.Name, config.Object{Service: &service})
	}
	for _, target := range world.Targets {
		declared := target.declared()
		add(config.KindTarget, string(target.Name), config.Object{Target: &declared})
	}
	for _, pipeline := range pipelines {
		level := config.ServiceLevel{Pipeline: pipeline.Name, Objective: 0.99, Period: 30 * 24 * time.Hour}
		add(config.KindPipeline, pipeline.Name, config.Object{Pipeline: &pipeline})
		add(config.KindServiceLevel, pipeline.Name, config.Object{ServiceLevel: &level})
	}
	return objects
}

func (target *Target) declared() config.Target {
	return config.Target{
		Name: target.Name, Service: target.Service, DataCentre: target.DataCentre, Address: target.Address,
	}
}

// Teams returns the names of the teams in Config.
func (world *World) Teams() []core.TeamName {
	names := make([]core.TeamName, 0, len(teams))
	for _, team := range teams {
		names = append(names, team.Name)
	}
	return names
}
