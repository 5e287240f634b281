package codec

import (
	"fmt"

	"catkincove/core"
	"catkincove/core/config"
)

func fromWire(wire wireObject) (config.Object, error) {
	var parser parser
	object := config.Object{
		Ref:          config.Ref{Kind: config.ObjectKind(wire.Kind), Name: wire.Name},
		Ticket:       wire.Ticket,
		Deleted:      wire.Deleted,
		Team:         fromWireTeam(wire.Name, wire.Team),
		DataCentre:   parser.dataCentre(wire.Name, wire.DataCentre),
		Service:      parser.service(wire.Name, wire.Service),
		Target:       parser.target(wire.Name, wire.Target),
		Pipeline:     parser.pipeline(wire.Name, wire.Pipeline),
		ServiceLevel: parser.serviceLevel(wire.Name, wire.ServiceLevel),
		Limits:       parser.limits(wire.Limits),
	}
	if parser.err != nil {
		return config.Object{}, fmt.Errorf("object %s: %w", object.Ref, parser.err)
	}
	if !object.WellFormed() {
		return config.Object{}, fmt.Errorf("object %s: its content does not match its kind", object.Ref)
	}
	return object, nil
}

func fromWireTeam(name string, wire *wireTeam) *config.Team {
	if wire == nil {
		return nil
	}
	return &config.Team{Name: core.TeamName(name), Weight: wire.Weight, TokenSHA256: wire.TokenSHA256}
}

func (parser *parser) dataCentre(name string, wire *wireDataCentre) *config.DataCentre {
	if wire == nil {
		return nil
	}
	return &config.DataCentre{Name: name, Region: wire.Region, State: parser.placement(wire.State)}
}

func (parser *parser) service(name string, wire *wireService) *config.Service {
	if wire == nil {
		return nil
	}
	return &config.Service{
		Name:          name,
		Kind:          parser.serviceKind(wire.Kind),
		Model:         wire.Model,
		Version:       wire.Version,
		WeightBytes:   wire.WeightBytes,
		Capacity:      wire.Capacity,
		ColdLimit:     wire.ColdLimit,
		WarmAfter:     wire.WarmAfter,
		LeastTime:     parser.duration("LeastTime", wire.LeastTime),
		MayRepeat:     wire.MayRepeat,
		ChecksFencing: wire.ChecksFencing,
	}
}

func (parser *parser) target(name string, wire *wireTarget) *config.Target {
	if wire == nil {
		return nil
	}
	return &config.Target{
		Name:       core.TargetName(name),
		Service:    wire.Service,
		DataCentre: wire.DataCentre,
		Address:    wire.Address,
		State:      parser.placement(wire.State),
	}
}

func (parser *parser) pipeline(name string, wire *wirePipeline) *config.Pipeline {
	if wire == nil {
		return nil
	}
	pipeline := &config.Pipeline{Name: name, Deadline: parser.duration("Deadline", wire.Deadline)}
	for _, stage := range wire.Stages {
		pipeline.Stages = append(pipeline.Stages, config.Stage{
			Name:      stage.Name,
			Service:   stage.Service,
			Top:       stage.Top,
			MaxTokens: stage.MaxTokens,
			Path:      stage.Path,
		})
	}
	return pipeline
}

func (parser *parser) serviceLevel(name string, wire *wireServiceLevel) *config.ServiceLevel {
	if wire == nil {
		return nil
	}
	return &config.ServiceLevel{
		Pipeline:  name,
		Objective: wire.Objective,
		Period:    parser.duration("Period", wire.Period),
	}
}

func (parser *parser) limits(wire *wireLimits) *config.Limits {
	if wire == nil {
		return nil
	}
	return &config.Limits{
		RetriesPerRequest: wire.RetriesPerRequest,
		RetryRatio:        wire.RetryRatio,
		QueueLength:       wire.QueueLength,
		BodyBytes:         wire.BodyBytes,
		WeightRate:        wire.WeightRate,
		SameRegionDelay:   parser.duration("SameRegionDelay", wire.SameRegionDelay),
		OtherRegionDelay:  parser.duration("OtherRegionDelay", wire.OtherRegionDelay),
	}
}
