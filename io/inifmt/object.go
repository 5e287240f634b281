package inifmt

import (
	"strings"

	"catkincove/core"
	"catkincove/core/config"
)

const (
	deleteKey = "Delete"
	inOrOut   = "In or Out"
)

// object parses the section of one object.
func (document *document) object(ref config.Ref) config.Object {
	table := document.table(ref.String())
	if table.boolean(deleteKey, false) {
		table.close("no other key besides Delete = true")
		return config.NewTombstone(ref)
	}
	object := config.Object{Ref: ref}
	switch ref.Kind {
	case config.KindTeam:
		object = config.NewTeam(table.team(ref.Name))
	case config.KindDataCentre:
		object = config.NewDataCentre(table.dataCentre(ref.Name))
	case config.KindService:
		object = config.NewService(table.service(ref.Name))
	case config.KindTarget:
		object = config.NewTarget(table.target(ref.Name))
	case config.KindPipeline:
		object = config.NewPipeline(table.pipeline(ref.Name))
	case config.KindServiceLevel:
		object = config.NewServiceLevel(table.serviceLevel(ref.Name))
	case config.KindLimits:
		object = config.NewLimits(table.limits())
		object.Ref = ref
	}
	return object
}

func (table *table) placement(key string) config.Placement {
	return choice(table, key, config.In, config.ParsePlacement, inOrOut)
}

func (table *table) team(name string) config.Team {
	team := config.Team{
		Name:        core.TeamName(name),
		Weight:      table.number("Weight", 0),
		TokenSHA256: table.text("TokenSHA256", ""),
	}
	table.close(oneOf("Weight", "TokenSHA256", deleteKey))
	return team
}

func (table *table) dataCentre(name string) config.DataCentre {
	dataCentre := config.DataCentre{Name: name, Region: table.text("Region", ""), State: table.placement("State")}
	table.close(oneOf("Region", "State", deleteKey))
	return dataCentre
}

func (table *table) service(name string) config.Service {
	kinds := "one of " + strings.Join(config.ServiceKindNames(), ", ")
	table.require("Kind", kinds)
	service := config.Service{
		Name:          name,
		Kind:          choice(table, "Kind", config.Call, config.ParseServiceKind, kinds),
		Model:         table.text("Model", ""),
		Version:       table.text("Version", ""),
		WeightBytes:   table.number64("WeightBytes", 0),
		Capacity:      table.number("Capacity", 0),
		ColdLimit:     table.number("ColdLimit", 0),
		WarmAfter:     table.number("WarmAfter", 0),
		LeastTime:     table.duration("LeastTime", 0),
		MayRepeat:     table.boolean("MayRepeat", false),
		ChecksFencing: table.boolean("ChecksFencing", false),
	}
	table.close(oneOf("Kind", "Model", "Version", "WeightBytes", "Capacity", "ColdLimit", "WarmAfter", "LeastTime", "MayRepeat", "ChecksFencing", deleteKey))
	return service
}

func (table *table) target(name string) config.Target {
	table.require("Service", "the name of a service")
	table.require("DataCentre", "the name of a data centre")
	target := config.Target{
		Name:       core.TargetName(name),
		Service:    table.text("Service", ""),
		DataCentre: table.text("DataCentre", ""),
		Address:    table.text("Address", ""),
		State:      table.placement("State"),
	}
	table.close(oneOf("Service", "DataCentre", "Address", "State", deleteKey))
	return target
}

func (table *table) pipeline(name string) config.Pipeline {
	table.require("Deadline", "a duration with a unit, such as 1.5s")
	table.require("Stages", "a list of stages separated by commas")
	pipeline := config.Pipeline{Name: name, Deadline: table.duration("Deadline", 0)}
	for _, stage := range table.list("Stages") {
		pipeline.Stages = append(pipeline.Stages, table.document.stage(name, stage))
	}
	table.close(oneOf("Deadline", "Stages", deleteKey))
	return pipeline
}

// stageSection returns the name of the section that describes a stage.
func stageSection(pipeline, stage string) string { return stageKind + " " + pipeline + "/" + stage }

func (document *document) stage(pipeline, name string) config.Stage {
	section := stageSection(pipeline, name)
	if _, present := document.sections[section]; !present {
		document.addProblemAt("Pipeline "+pipeline, "Stages", name, "a stage that has a section ["+section+"]")
		return config.Stage{Name: name}
	}
	table := document.table(section)
	table.require("Service", "the name of a service")
	stage := config.Stage{
		Name:      name,
		Service:   table.text("Service", ""),
		Top:       table.number("Top", 0),
		MaxTokens: table.number("MaxTokens", 0),
		Path:      table.text("Path", ""),
	}
	table.close(oneOf("Service", "Top", "MaxTokens", "Path"))
	return stage
}

func (table *table) serviceLevel(pipeline string) config.ServiceLevel {
	table.require("Objective", "a share between 0 and 1, such as 0.99")
	table.require("Period", "a duration with a unit, such as 720h")
	serviceLevel := config.ServiceLevel{
		Pipeline:  pipeline,
		Objective: table.float("Objective", 0),
		Period:    table.duration("Period", 0),
	}
	table.close(oneOf("Objective", "Period", deleteKey))
	return serviceLevel
}

func (table *table) limits() config.Limits {
	defaults := config.DefaultLimits()
	limits := config.Limits{
		RetriesPerRequest: table.number("RetriesPerRequest", defaults.RetriesPerRequest),
		RetryRatio:        table.float("RetryRatio", defaults.RetryRatio),
		QueueLength:       table.number("QueueLength", defaults.QueueLength),
		BodyBytes:         table.number("BodyBytes", defaults.BodyBytes),
		WeightRate:        table.number64("WeightRate", defaults.WeightRate),
		SameRegionDelay:   table.duration("SameRegionDelay", defaults.SameRegionDelay),
		OtherRegionDelay:  table.duration("OtherRegionDelay", defaults.OtherRegionDelay),
	}
	table.close(oneOf("RetriesPerRequest", "RetryRatio", "QueueLength", "BodyBytes", "WeightRate", "SameRegionDelay", "OtherRegionDelay",
		deleteKey))
	return limits
}
