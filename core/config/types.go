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

// Object is the state of one declared thing, as the ticket with the number left it.
//
// Exactly one of the pointers is set unless Deleted is true.
type Object struct {
	Ref          Ref
	Ticket       int64
	Deleted      bool // tombstone: an older ticket must not bring the object back
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
	TokenSHA256 string // hex digest of the bearer token; empty means no token is asked for
}

// Placement says whether a data centre or target takes new work.
type Placement int

// The placements.
const (
	In Placement = iota
	Out
)

// DataCentre is a place with targets and VMs.
type DataCentre struct {
	Name   string
	Region string
	State  Placement
}

// ServiceKind says what the targets of a service do.
type ServiceKind int

// The kinds of services.
const (
	Encode ServiceKind = iota
	Retrieve
	Rerank
	Generate
	Call
)

// Service describes what the targets of a pool serve.
type Service struct {
	Name          string
	Kind          ServiceKind
	Model         string
	Version       string        // of the model; targets are ordered to load it
	WeightBytes   int64         // size of the model's weights, for the pace of loads; 0 is not paced
	Capacity      int           // requests that a warm target runs at once; 0 counts as 1
	ColdLimit     int           // requests that a target just started bears; 0 counts as 1
	WarmAfter     int           // completed requests after a start during which ColdLimit holds; 0 raises the limit at once
	LeastTime     time.Duration // shortest time of one request; later stages reserve it
	MayRepeat     bool          // a call may be sent again after it has sent a byte
	ChecksFencing bool          // its targets refuse orders with an old fencing token
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
	Top       int    // passages kept by a retrieving or reranking stage
	MaxTokens int    // bound of a generating stage
	Path      string // path called on a plain service
}

// Pipeline is an ordered list of stages under one deadline.
type Pipeline struct {
	Name     string
	Deadline time.Duration
	Stages   []Stage
}

// ServiceLevel is the objective of one pipeline.
type ServiceLevel struct {
	Pipeline  string
	Objective float64       // share of requests that finish in time, such as 0.99
	Period    time.Duration // over which the objective holds
}

// Limits bounds what one daemon takes on; the object's name is "Default".
type Limits struct {
	RetriesPerRequest int
	RetryRatio        float64 // retries per request that the daemon's budget gains
	QueueLength       int     // requests waiting in one pool
	BodyBytes         int
	WeightRate        int64         // bytes a second that all daemons together may have targets load
	SameRegionDelay   time.Duration // network distance within a region
	OtherRegionDelay  time.Duration // network distance between regions
}
