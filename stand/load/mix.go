package load

import (
	"fmt"
	"time"

	"catkincove/core"
	"catkincove/core/config"
	"catkincove/stand/model"
	"catkincove/stand/plain"
	"catkincove/stand/world"
)

const (
	generate          = "generate"
	batchSlope        = 0.02                  // increase of the time per token for each further request in the batch
	fullAnswerTokens  = 400                   // minimum length of an answer in tokens before MaxTokens truncates it
	leastTimeFraction = 0.8                   // declared least time, as a fraction of the stand-in's actual service time
	fixedServiceTime  = 20 * time.Millisecond // service time of every stage but generate
	fixedServiceSlots = 4
	burstTeam         = core.TeamName("visitors")
	minLeastTime      = 5 * time.Millisecond
)

// Kind is one kind of request of a mix.
type Kind struct {
	Pipeline string
	Share    float64 // fraction of the requests
	Deadline time.Duration
	Top      int // number of passages to retrieve
	Keep     int // number of passages left after reranking
	Tokens   int // length of the answer
	Stages   []string
}

// Team is one team of a mix.
type Team struct {
	Name   core.TeamName
	Weight int
	Share  float64 // fraction of the requests
	Large  bool
}

// Mix is the workload of one deployment, scaled down so that targets and daemons fit on one host.
type Mix struct {
	Name            string
	GenerateTargets int // number of generating targets in each data centre
	Slots           int // concurrent requests of one generating target
	TokenTime       time.Duration
	Wave            float64 // rate in the periodic bursts as a multiple of the mean; 0 disables them
	Kinds           []Kind
	Extra           Kind // requests that the scenario burst adds
	Teams           []Team
}

var dataCentres = []config.DataCentre{
	{Name: "one", Region: "home"}, {Name: "two", Region: "home"}, {Name: "three", Region: "home"},
}

// Mixes lists the workloads that Settings.Mix can name.
var Mixes = []Mix{
	{
		Name: "fans", GenerateTargets: 4, Slots: 4, TokenTime: 6 * time.Millisecond,
		Kinds: []Kind{
			{Pipeline: "quotations", Share: 0.4, Deadline: 2500 * time.Millisecond, Top: 40, Keep: 6, Tokens: 80, Stages: []string{"encode", "retrieve", "rerank", generate}},
			{Pipeline: "questions", Share: 0.2, Deadline: 2500 * time.Millisecond, Top: 20, Keep: 3, Tokens: 40, Stages: []string{"encode", "retrieve", "rerank", "stock", generate}},
			{Pipeline: "parts", Share: 0.4, Deadline: 1500 * time.Millisecond, Tokens: 16, Stages: []string{"stock", generate}},
		},
		Extra: Kind{Pipeline: "search", Deadline: time.Second, Top: 20, Stages: []string{"encode", "retrieve"}},
		Teams: []Team{{"sales", 4, 0.35, true}, {"parts", 4, 0.3, true}, {"orders", 3, 0.2, true}, {"warranty", 1, 0.08, false}, {"freight", 1, 0.07, false}},
	},
	{
		Name: "cloakroom", GenerateTargets: 7, Slots: 2, TokenTime: 12 * time.Millisecond, Wave: 1.4,
		Kinds: []Kind{
			{Pipeline: "stocks", Share: 0.5, Deadline: time.Second, Stages: []string{"stock"}},
			{Pipeline: "answers", Share: 0.4, Deadline: 1500 * time.Millisecond, Tokens: 12, Stages: []string{"stock", generate}},
			{Pipeline: "drafts", Share: 0.1, Deadline: 2500 * time.Millisecond, Tokens: 50, Stages: []string{"stock", generate}},
		},
		Extra: Kind{Pipeline: "returns", Deadline: time.Second, Stages: []string{"stock"}},
		Teams: []Team{{"evening", 4, 0.6, true}, {"rentals", 2, 0.2, true}, {"drafting", 1, 0.1, false}, {"depot", 1, 0.06, false}, {"office", 1, 0.04, false}},
	},
}

// MixOf returns the mix with the name, or an error if there is none.
func MixOf(name string) (Mix, error) {
	for _, mix := range Mixes {
		if mix.Name == name {
			return mix, nil
		}
	}
	return Mix{}, fmt.Errorf("unknown mix %q", name)
}

// tokenTime returns the time per token when the batch is full.
func (mix Mix) tokenTime() time.Duration {
	return time.Duration(float64(mix.TokenTime) * (1 + batchSlope*float64(mix.Slots-1)))
}

// NominalCapacity returns the rate, in requests per second, at which the generating targets are saturated according to their settings.
func (mix Mix) NominalCapacity() float64 {
	perRequest := 0.0
	for _, kind := range mix.Kinds {
		perRequest += kind.Share * float64(kind.Tokens) * mix.tokenTime().Seconds()
	}
	return float64(len(dataCentres)*mix.GenerateTargets*mix.Slots) / perRequest
}

// cost returns the minimum target time of one call of a stage of the kind.
func (mix Mix) cost(kind Kind, stage string) time.Duration {
	if stage == generate {
		return time.Duration(kind.Tokens) * mix.TokenTime
	}
	return fixedServiceTime
}

func (mix Mix) worldOptions() world.Options {
	return world.Options{
		DataCentres: dataCentres,
		TargetsPerDataCentre: map[string]int{
			generate: mix.GenerateTargets, "encode": 1, "retrieve": 1, "rerank": 1, "stock": 2, "booking": 1, "ledger": 1,
		},
		Model: func(service string, settings *model.Settings) {
			settings.TokenTime, settings.BatchSlope, settings.MinAnswerTokens = mix.TokenTime, batchSlope, fullAnswerTokens
			settings.ServiceTime = fixedServiceTime
			settings.Capacity = fixedServiceSlots
			if service == generate {
				settings.Capacity = mix.Slots
			}
			settings.HardLimit = 4 * settings.Capacity
		},
		Plain: func(_ string, settings *plain.Settings) {
			settings.ServiceTime, settings.Capacity = fixedServiceTime, fixedServiceSlots
		},
	}
}

// objects returns the configuration objects of the mix for the running platform.
func (mix Mix) objects(platform *world.World) []config.Object {
	var objects []config.Object
	add := func(kind config.ObjectKind, name string, object config.Object) {
		object.Ref = config.Ref{Kind: kind, Name: name}
		objects = append(objects, object)
	}
	for _, object := range platform.Config() {
		if service := object.Service; service != nil {
			service.LeastTime = mix.leastTime(service.Name)
			service.ColdLimit = min(service.ColdLimit, service.Capacity)
		}
		if object.Pipeline == nil && object.ServiceLevel == nil && object.Team == nil {
			objects = append(objects, object)
		}
	}
	for _, team := range mix.teams() {
		add(config.KindTeam, string(team.Name), config.Object{Team: &config.Team{Name: team.Name, Weight: team.Weight}})
	}
	for _, kind := range append(mix.Kinds[:len(mix.Kinds):len(mix.Kinds)], mix.Extra) {
		add(config.KindPipeline, kind.Pipeline, config.Object{Pipeline: kind.pipeline()})
	}
	return objects
}

func (mix Mix) teams() []Team {
	return append(mix.Teams[:len(mix.Teams):len(mix.Teams)], Team{Name: burstTeam, Weight: 1})
}

func (mix Mix) leastTime(service string) time.Duration {
	if service != generate {
		return time.Duration(leastTimeFraction * float64(fixedServiceTime))
	}
	shortest := time.Duration(0)
	for _, kind := range mix.Kinds {
		if kind.Tokens > 0 && (shortest == 0 || mix.cost(kind, generate) < shortest) {
			shortest = mix.cost(kind, generate)
		}
	}
	return max(minLeastTime, time.Duration(leastTimeFraction*float64(shortest)))
}

func (kind Kind) pipeline() *config.Pipeline {
	pipeline := &config.Pipeline{Name: kind.Pipeline, Deadline: kind.Deadline}
	for _, name := range kind.Stages {
		stage := config.Stage{Name: name, Service: name}
		switch name {
		case "retrieve":
			stage.Top = kind.Top
		case "rerank":
			stage.Top = kind.Keep
		case "stock":
			stage.Path = "/stock"
		case generate:
			stage.MaxTokens = kind.Tokens
		}
		pipeline.Stages = append(pipeline.Stages, stage)
	}
	return pipeline
}
