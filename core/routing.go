package core

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Repeat says how often one request may run on targets.
type Repeat int

// The values of Repeat; the zero value is NotIdempotent, so that an undeclared request never runs twice.
const (
	NotIdempotent Repeat = iota
	Idempotent
)

// ServiceShare is a service with its share of a route's requests, relative to the other shares.
type ServiceShare struct {
	Service string
	Weight  int
}

// StageSpec is a step of a route that must be done before its request can run.
type StageSpec struct {
	Service     string
	After       []int // stages whose results are inputs
	ResultBytes int64 // approximate size of one result
}

// Route says where the requests with a host and a path prefix go.
type Route struct {
	Name             string
	Host             string
	Prefix           string
	Repeat           Repeat
	Stream           bool // the response is a series of numbered events
	Resumable        bool // another target can continue a stream
	Timeout          time.Duration
	LatencyObjective time.Duration // response time that callers expect; time to the first event for streams
	GapObjective     time.Duration // longest gap between events that callers expect
	Priority         int           // 0 is the most urgent
	Services         []ServiceShare
	MaxTargets       int // maximum number of targets that one request may be sent to
	Stages           []StageSpec
	Public           bool // no credential is needed
}

// Leaves returns the stages whose results the final target needs: those that no other stage follows.
func (route Route) Leaves() []int {
	followed := make([]bool, len(route.Stages))
	for _, stage := range route.Stages {
		for _, dependency := range stage.After {
			followed[dependency] = true
		}
	}
	var leaves []int
	for i := range route.Stages {
		if !followed[i] {
			leaves = append(leaves, i)
		}
	}
	return leaves
}

// HasStageCycle reports whether a stage depends on itself, directly or through others, so that it could never begin.
func (route Route) HasStageCycle() bool {
	ended := make([]bool, len(route.Stages))
	for range route.Stages {
		for i, stage := range route.Stages {
			ended[i] = !slices.ContainsFunc(stage.After, func(dependency int) bool { return !ended[dependency] })
		}
	}
	return slices.Contains(ended, false)
}

// BatchSpec describes targets that work on pieces in batches.
type BatchSpec struct {
	MaxPieces      int           // maximum number of pieces per call
	MaxCalls       int           // maximum number of calls in flight per target
	CallOverhead   time.Duration // fixed time of a call, whatever its pieces
	PieceTime      time.Duration // approximate time that each piece adds to a call
	MaxResultBytes int64         // capacity of one target for results
	ResultTTL      time.Duration // time after the call in which a target keeps a result
}

// EngineSpec describes targets that generate tokens.
type EngineSpec struct {
	Slots        int
	MemoryTokens int
}

// ServiceSpec describes the targets of one service.
type ServiceSpec struct {
	Name           string
	MaxConnections int     // limit per target for all daemons together
	ColdRate       float64 // requests per second that a cold target tolerates; 0 means no limit
	Batch          *BatchSpec
	Engine         *EngineSpec
}

// TeamSpec is a group of callers as the configuration names it.
type TeamSpec struct {
	Name        TeamName
	Priority    int
	HasPriority bool // Priority overrides that of the route
}

// RequestLimits limits what a caller may send.
type RequestLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Routing is one immutable version of the routes, services and teams; the zero value matches nothing.
type Routing struct {
	Version       int64
	Services      map[string]ServiceSpec
	RequestLimits RequestLimits

	routes map[string][]Route // by host, longest prefix first
	teams  map[string]TeamSpec
	known  bool
}

// RoutingOptions are the parts of a Routing.
type RoutingOptions struct {
	Version       int64
	Routes        []Route
	Services      []ServiceSpec
	Teams         map[string]TeamSpec // by credential; nil means that no credentials are asked for
	TeamList      []TeamCredentials   // as the operator lists them, for reviews; Teams decides
	RequestLimits RequestLimits
}

// TeamCredentials is a team with the credentials of its callers.
type TeamCredentials struct {
	Team        TeamSpec
	Credentials []string
}

// NewRouting indexes the routes by host and prefix.
func NewRouting(options RoutingOptions) Routing {
	routing := Routing{
		Version: options.Version, RequestLimits: options.RequestLimits, teams: options.Teams, known: true,
		Services: map[string]ServiceSpec{}, routes: map[string][]Route{},
	}
	for _, service := range options.Services {
		routing.Services[service.Name] = service
	}
	for _, route := range options.Routes {
		routing.routes[route.Host] = append(routing.routes[route.Host], route)
	}
	for _, routes := range routing.routes {
		slices.SortStableFunc(routes, func(a, b Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return routing
}

// Known reports whether a configuration has been read.
func (routing Routing) Known() bool { return routing.known }

// ServiceFor returns the name of the route's service for a request content, chosen by weight; empty if no service has a weight.
func (route Route) ServiceFor(content Fingerprint) string {
	total := 0
	for _, share := range route.Services {
		total += max(share.Weight, 0)
	}
	point := 0
	if total > 0 {
		point = int(uint64(content) % uint64(total))
	}
	for _, share := range route.Services {
		if point -= max(share.Weight, 0); point < 0 {
			return share.Service
		}
	}
	return ""
}

// Match returns the route of the host whose prefix is the longest that begins the path.
func (routing Routing) Match(host, path string) (Route, bool) {
	for _, route := range routing.routes[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return Route{}, false
}

// LongestResumable returns the longest time limit of a route whose streams may be resumed; 0 if there is none.
func (routing Routing) LongestResumable() time.Duration {
	longest := time.Duration(0)
	for _, routes := range routing.routes {
		for _, route := range routes {
			if route.Stream && route.Resumable {
				longest = max(longest, route.Timeout)
			}
		}
	}
	return longest
}

// ResumableServices returns the services that generate streams which may be resumed, in order.
func (routing Routing) ResumableServices() []string {
	services := map[string]bool{}
	for _, routes := range routing.routes {
		for _, route := range routes {
			for _, share := range route.Services {
				if route.Stream && route.Resumable {
					services[share.Service] = true
				}
			}
		}
	}
	return slices.Sorted(maps.Keys(services))
}

// Authenticates reports whether requests need a credential.
func (routing Routing) Authenticates() bool { return routing.teams != nil }

// Team returns the team that holds the credential.
func (routing Routing) Team(credential string) (TeamSpec, bool) {
	team, found := routing.teams[credential]
	return team, found
}

// TargetEntry is the record that a target keeps of itself in the registry.
type TargetEntry struct {
	ID           string
	Service      string
	Address      string // IP:port
	DataCentre   string
	Version      string // version of its software; what targets of two versions generate does not fit together
	Slots        int
	Draining     bool
	ColdTimeLeft time.Duration // remaining time for which the target is cold when the entry is written
	StartedAt    time.Time     // start of this run of the target
	Sequence     int64         // number of entries written in this run
}

// PromptPart is one part of a prompt; requests that begin with the same parts can share their cached tokens.
type PromptPart struct {
	ID     string
	Tokens int
}

// CallerRequest holds the parameters that a caller sends with its request.
type CallerRequest struct {
	Attempt    string // identifies this attempt of the caller
	Credential string
	TimeLeft   time.Duration // how long the caller waits; 0 means unknown
	LastEvent  string        // last event that the caller received of a disconnected stream
	Resumes    string        // attempt of the caller that brought the first event of that stream
	Prompt     []PromptPart
	Pieces     []int // pieces of each stage; 0 leaves the stage out
	PieceKey   string
}

// Forward is what a daemon adds to the caller's request when it sends it to a target.
type Forward struct {
	Target    string // only this target may run the request
	TimeLeft  time.Duration
	Team      TeamName
	Priority  int      // 0 to 9
	Inputs    []string // handles of stage results
	LastEvent string   // event after which to continue the stream; empty keeps the caller's own value
}

// TargetResponse is what the status and headers of a target's response say about the execution.
type TargetResponse struct {
	Attempt       string  // attempt that the response belongs to; empty if unknown
	NotRun        bool    // the target states that the request has not run and will not
	HasDigest     bool    // the response carries the target's digest
	Limited       bool    // the target names RateLimit
	Brittle       bool    // the target falls over when it has to reject more than MaxRejections for want of room
	MaxRejections float64 // in a second, from all daemons together
	RateLimit     float64 // requests per second that the target takes from all daemons together, for as long as it names them
	Leaving       bool    // the target leaves and wants no further requests
	Load          Load    // of the target when it sent the response

	Pause time.Duration // time for which the target, which is full, wants nothing from this daemon; 0 means that it states none
}

// Load is what a target states about its own load.
type Load struct {
	Told    bool // the target states its load; otherwise the other fields say nothing
	Running int  // requests in progress, from all daemons
	Waiting int  // requests that wait for a slot
	Slots   int  // requests that may be in progress at once; 0 means that the target states none
	// Pace is how long work takes at this moment relative to the usual time: 2 means twice as long. It is 1 if the target states
	// none.
	Pace float64
}

// Piece is one unit of work of a stage.
type Piece struct {
	Attempt  string
	Stage    int
	Number   int
	TimeLeft time.Duration
	Key      string   // key of a piece without inputs
	Inputs   []string // handles of the results that it needs
}

// PieceResult is the outcome of one piece: a handle, or the reason why there is none.
type PieceResult struct {
	Handle string
	Fault  PieceFault
}

// PieceFault is the reason why a piece has no result.
type PieceFault int

// The faults of pieces.
const (
	PieceDone PieceFault = iota
	PieceLate
	PieceInputGone
	PieceNoRoom
	PieceFailed
	PieceMoved // the daemon that sends the batches is leaving; another one has to be asked
)

// String returns the name used in logs.
func (fault PieceFault) String() string {
	names := [...]string{"Done", "Late", "InputGone", "NoRoom", "Failed", "Moved"}
	if fault < 0 || int(fault) >= len(names) {
		return "Unknown" // received from another daemon
	}
	return names[fault]
}
