package codec

import (
	"fmt"

	"catkincove/core"
	"catkincove/core/config"
)

func fromWire(wire wireObject) (config.Object, error) {
	var reader reader
	object := config.Object{
		Ref:          config.Ref{Kind: config.ObjectKind(wire.Kind), Name: wire.Name},
		Ticket:       wire.Ticket,
		Deleted:      wire.Deleted,
		Team:         fromWireTeam(wire.Name, wire.Team),
		DataCentre:   reader.dataCentre(wire.Name, wire.DataCentre),
		Service:      reader.service(wire.Name, wire.Service),
		Target:       reader.target(wire.Name, wire.Target),
		Pipeline:     reader.pipeline(wire.Name, wire.Pipeline),
		ServiceLevel: reader.serviceLevel(wire.Name, wire.ServiceLevel),
		Limits:       reader.limits(wire.Limits),
	}
	if reader.err != nil {
		return config.Object{}, fmt.Errorf("object %s: %w", object.Ref, reader.err)
	}
	if !object.WellFormed() {
		return config.Object{}, fmt.Errorf("object %s: its state does not fit its kind", object.Ref)
	}
	return object, nil
}

func fromWireTeam(name string, wire *wireTeam) *config.Team {
	if wire == nil {
		return nil
	}
	return &config.Team{Name: core.TeamName(name), Weight: wire.Weight, TokenSHA256: wire.TokenSHA256}
}

func (reader *reader) dataCentre(name string, wire *wireDataCentre) *config.DataCentre {
	if wire == nil {
		return nil
	}
	return &config.DataCentre{Name: name, Region: wire.Region, State: reader.placement(wire.State)}
}

func (reader *reader) service(name string, wire *wireService) *config.Service {
	if wire == nil {
		return nil
	}
	return &config.Service{
		Name:          name,
		Kind:          reader.serviceKind(wire.Kind),
		Model:         wire.Model,
		Version:       wire.Version,
		WeightBytes:   wire.WeightBytes,
		Capacity:      wire.Capacity,
		ColdLimit:     wire.ColdLimit,
		WarmAfter:     wire.WarmAfter,
		LeastTime:     reader.duration("LeastTime", wire.LeastTime),
		MayRepeat:     wire.MayRepeat,
		ChecksFencing: wire.ChecksFencing,
	}
}

func (reader *reader) target(name string, wire *wireTarget) *config.Target {
	if wire == nil {
		return nil
	}
	return &config.Target{
		Name:       core.TargetName(name),
		Service:    wire.Service,
		DataCentre: wire.DataCentre,
		Address:    wire.Address,
		State:      reader.placement(wire.State),
	}
}

func (reader *reader) pipeline(name string, wire *wirePipeline) *config.Pipeline {
	if wire == nil {
		return nil
	}
	pipeline := &config.Pipeline{Name: name, Deadline: reader.duration("Deadline", wire.Deadline)}
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

func (reader *reader) serviceLevel(name string, wire *wireServiceLevel) *config.ServiceLevel {
	if wire == nil {
		return nil
	}
	return &config.ServiceLevel{
		Pipeline:  name,
		Objective: wire.Objective,
		Period:    reader.duration("Period", wire.Period),
	}
}

func (reader *reader) limits(wire *wireLimits) *config.Limits {
	if wire == nil {
		return nil
	}
	return &config.Limits{
		RetriesPerRequest: wire.RetriesPerRequest,
		RetryRatio:        wire.RetryRatio,
		QueueLength:       wire.QueueLength,
		BodyBytes:         wire.BodyBytes,
		WeightRate:        wire.WeightRate,
		SameRegionDelay:   reader.duration("SameRegionDelay", wire.SameRegionDelay),
		OtherRegionDelay:  reader.duration("OtherRegionDelay", wire.OtherRegionDelay),
	}
}
