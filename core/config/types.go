package config

import (
	"time"

	"catkincove/core"
)

// ObjectKind is the type of a configuration object; its text is the section name in tickets and part of the store key.
type ObjectKind string

// The kinds of objects.
const (
	KindTeam         ObjectKind = "Team"
	KindDataCentre   ObjectKind = "DataCentre"
	KindService      ObjectKind = "Service"
	KindTarget       ObjectKind = "Target"
	KindPipeline     ObjectKind = "Pipeline"
	KindServiceLevel ObjectKind = "ServiceLevel"
	KindLimits       ObjectKind = "Limits"
)

// Ref names one object.
type Ref struct {
	Kind ObjectKind
	Name string
}

// Object is the state of one configuration object after the ticket with the number Ticket.
//
// Exactly one of the pointers is set unless Deleted is true.
type Object struct {
	Ref          Ref
	Ticket       int64
	Deleted      bool // marks a tombstone, kept so that an older ticket cannot restore the object
	Team         *Team
	DataCentre   *DataCentre
	Service      *Service
	Target       *Target
	Pipeline     *Pipeline
	ServiceLevel *ServiceLevel
	Limits       *Limits
}

// Team is a group of callers.
type Team struct {
	Name        core.TeamName
	Weight      int    // share under overload relative to other teams; 0 counts as 1
	TokenSHA256 string // hex digest of the bearer token; empty means that no token is required
}

// Placement says whether a data centre or target accepts new work.
type Placement int

// The placements.
const (
	In Placement = iota
	Out
)

// DataCentre is a location that hosts targets and VMs.
type DataCentre struct {
	Name   string
	Region string
	State  Placement
}

// ServiceKind is the kind of work that the targets of a service do.
type ServiceKind int

// The kinds of services.
const (
	Encode ServiceKind = iota
	Retrieve
	Rerank
	Generate
	Call
)

// Service describes the work that the targets of its pools do.
type Service struct {
	Name          string
	Kind          ServiceKind
	Model         string
	Version       string        // version of the model that targets are commanded to load
	WeightBytes   int64         // size of the model's weights, used to rate-limit loads; 0 means no rate limit
	Capacity      int           // concurrent requests of a warm target; 0 counts as 1
	ColdLimit     int           // concurrent requests of a target that has just started; 0 counts as 1
	WarmAfter     int           // completed requests after a start during which ColdLimit applies; 0 raises the limit at once
	LeastTime     time.Duration // minimum time of one request; earlier stages reserve it within the deadline
	MayRepeat     bool          // calls are idempotent and may be retried after their first byte was sent
	ChecksFencing bool          // targets reject load and unload commands with an old fencing token
}

// Target is one replica at one address.
type Target struct {
	Name       core.TargetName
	Service    string
	DataCentre string
	Address    string // IP:port
	State      Placement
}

// Stage is one step of a pipeline.
type Stage struct {
	Name      string
	Service   string
	Top       int    // number of passages that a Retrieve or Rerank stage returns
	MaxTokens int    // maximum number of tokens that a Generate stage returns
	Path      string // URL path that a Call stage requests
}

// Pipeline is an ordered list of stages under one deadline.
type Pipeline struct {
	Name     string
	Deadline time.Duration
	Stages   []Stage
}

// ServiceLevel is the service level objective (SLO) of one pipeline.
type ServiceLevel struct {
	Pipeline  string
	Objective float64       // ratio of requests that must finish in time, such as 0.99
	Period    time.Duration // period over which the objective applies
}

// Limits bounds the work that daemons accept and the load that they cause; the object's name is "Default".
type Limits struct {
	RetriesPerRequest int
	RetryRatio        float64 // retries that each request adds to the retry budget of its daemon
	QueueLength       int     // maximum number of requests queued in one pool
	BodyBytes         int
	WeightRate        int64         // bytes per second of model weights that targets may load, over all daemons
	SameRegionDelay   time.Duration // network delay between data centres of one region
	OtherRegionDelay  time.Duration // network delay between regions
}
