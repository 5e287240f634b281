package codec

import "catkincove/core/config"

func toWire(object config.Object) wireObject {
	return wireObject{
		Kind:         string(object.Ref.Kind),
		Name:         object.Ref.Name,
		Ticket:       object.Ticket,
		Deleted:      object.Deleted,
		Team:         toWireTeam(object.Team),
		DataCentre:   toWireDataCentre(object.DataCentre),
		Service:      toWireService(object.Service),
		Target:       toWireTarget(object.Target),
		Pipeline:     toWirePipeline(object.Pipeline),
		ServiceLevel: toWireServiceLevel(object.ServiceLevel),
		Limits:       toWireLimits(object.Limits),
	}
}

func toWireTeam(team *config.Team) *wireTeam {
	if team == nil {
		return nil
	}
	return &wireTeam{Weight: team.Weight, TokenSHA256: team.TokenSHA256}
}

func toWireDataCentre(dataCentre *config.DataCentre) *wireDataCentre {
	if dataCentre == nil {
		return nil
	}
	return &wireDataCentre{Region: dataCentre.Region, State: dataCentre.State.String()}
}

func toWireService(service *config.Service) *wireService {
	if service == nil {
		return nil
	}
	return &wireService{
		Kind:          service.Kind.String(),
		Model:         service.Model,
		Version:       service.Version,
		WeightBytes:   service.WeightBytes,
		Capacity:      service.Capacity,
		ColdLimit:     service.ColdLimit,
		WarmAfter:     service.WarmAfter,
		LeastTime:     service.LeastTime.String(),
		MayRepeat:     service.MayRepeat,
		ChecksFencing: service.ChecksFencing,
	}
}

func toWireTarget(target *config.Target) *wireTarget {
	if target == nil {
		return nil
	}
	return &wireTarget{
		Service:    target.Service,
		DataCentre: target.DataCentre,
		Address:    target.Address,
		State:      target.State.String(),
	}
}

func toWirePipeline(pipeline *config.Pipeline) *wirePipeline {
	if pipeline == nil {
		return nil
	}
	stages := make([]wireStage, 0, len(pipeline.Stages))
	for _, stage := range pipeline.Stages {
		stages = append(stages, wireStage{
			Name:      stage.Name,
			Service:   stage.Service,
			Top:       stage.Top,
			MaxTokens: stage.MaxTokens,
			Path:      stage.Path,
		})
	}
	return &wirePipeline{Deadline: pipeline.Deadline.String(), Stages: stages}
}

func toWireServiceLevel(serviceLevel *config.ServiceLevel) *wireServiceLevel {
	if serviceLevel == nil {
		return nil
	}
	return &wireServiceLevel{Objective: serviceLevel.Objective, Period: serviceLevel.Period.String()}
}

func toWireLimits(limits *config.Limits) *wireLimits {
	if limits == nil {
		return nil
	}
	return &wireLimits{
		RetriesPerRequest: limits.RetriesPerRequest,
		RetryRatio:        limits.RetryRatio,
		QueueLength:       limits.QueueLength,
		BodyBytes:         limits.BodyBytes,
		WeightRate:        limits.WeightRate,
		SameRegionDelay:   limits.SameRegionDelay.String(),
		OtherRegionDelay:  limits.OtherRegionDelay.String(),
	}
}
