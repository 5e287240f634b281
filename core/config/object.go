package config

import (
	"reflect"
	"slices"
)

// NewTeam returns the object that declares the team.
func NewTeam(team Team) Object {
	return Object{Ref: Ref{KindTeam, string(team.Name)}, Team: &team}
}

// NewDataCentre returns the object that declares the data centre.
func NewDataCentre(dataCentre DataCentre) Object {
	return Object{Ref: Ref{KindDataCentre, dataCentre.Name}, DataCentre: &dataCentre}
}

// NewService returns the object that declares the service.
func NewService(service Service) Object {
	return Object{Ref: Ref{KindService, service.Name}, Service: &service}
}

// NewTarget returns the object that declares the target.
func NewTarget(target Target) Object {
	return Object{Ref: Ref{KindTarget, string(target.Name)}, Target: &target}
}

// NewPipeline returns the object that declares the pipeline.
func NewPipeline(pipeline Pipeline) Object {
	return Object{Ref: Ref{KindPipeline, pipeline.Name}, Pipeline: &pipeline}
}

// NewServiceLevel returns the object that declares the service level.
func NewServiceLevel(serviceLevel ServiceLevel) Object {
	return Object{Ref: Ref{KindServiceLevel, serviceLevel.Pipeline}, ServiceLevel: &serviceLevel}
}

// NewLimits returns the object that declares the limits.
func NewLimits(limits Limits) Object {
	return Object{Ref: Ref{KindLimits, LimitsName}, Limits: &limits}
}

// NewTombstone returns the object that records the deletion of ref.
func NewTombstone(ref Ref) Object { return Object{Ref: ref, Deleted: true} }

// WithTicket returns a copy that carries the ticket number.
func (object Object) WithTicket(number int64) Object {
	object.Ticket = number
	return object
}

// SameContent reports whether both objects declare the same state, ignoring their ticket numbers.
func (object Object) SameContent(other Object) bool {
	return reflect.DeepEqual(object.canonical(), other.canonical())
}

// canonical returns a deep copy without ticket number, in which an empty stage list is nil.
func (object Object) canonical() Object {
	object = object.clone()
	object.Ticket = 0
	if object.Pipeline != nil && len(object.Pipeline.Stages) == 0 {
		object.Pipeline.Stages = nil
	}
	return object
}

// clone returns a deep copy, so that a Config shares nothing with its callers.
func (object Object) clone() Object {
	object.Team = cloneOf(object.Team)
	object.DataCentre = cloneOf(object.DataCentre)
	object.Service = cloneOf(object.Service)
	object.Target = cloneOf(object.Target)
	object.Pipeline = cloneOf(object.Pipeline)
	object.ServiceLevel = cloneOf(object.ServiceLevel)
	object.Limits = cloneOf(object.Limits)
	if object.Pipeline != nil {
		object.Pipeline.Stages = slices.Clone(object.Pipeline.Stages)
	}
	return object
}

func cloneOf[T any](value *T) *T {
	if value == nil {
		return nil
	}
	copied := *value
	return &copied
}

// stateRefs returns a reference for each state pointer that is set, with the name inside that state.
func (object Object) stateRefs() []Ref {
	var refs []Ref
	if object.Team != nil {
		refs = append(refs, Ref{KindTeam, string(object.Team.Name)})
	}
	if object.DataCentre != nil {
		refs = append(refs, Ref{KindDataCentre, object.DataCentre.Name})
	}
	if object.Service != nil {
		refs = append(refs, Ref{KindService, object.Service.Name})
	}
	if object.Target != nil {
		refs = append(refs, Ref{KindTarget, string(object.Target.Name)})
	}
	if object.Pipeline != nil {
		refs = append(refs, Ref{KindPipeline, object.Pipeline.Name})
	}
	if object.ServiceLevel != nil {
		refs = append(refs, Ref{KindServiceLevel, object.ServiceLevel.Pipeline})
	}
	if object.Limits != nil {
		refs = append(refs, Ref{KindLimits, LimitsName})
	}
	return refs
}

// WellFormed reports whether the object is a tombstone without state or holds exactly the state that its Ref names.
func (object Object) WellFormed() bool {
	refs := object.stateRefs()
	if object.Deleted {
		return len(refs) == 0 && object.Ref.Kind.Known()
	}
	return len(refs) == 1 && refs[0] == object.Ref
}
