package engine

import "time"

// Defaults of the settings, and the length of the journal in requests.
const (
	defaultCapacity   = 8
	defaultWaitLimit  = 64
	defaultRestart    = 300 * time.Millisecond
	defaultColdFactor = 5 // factor on the time to the first byte
	journalLength     = 100_000
)

// Settings are the properties of a target; the zero value is usable and never crashes on its own.
type Settings struct {
	Capacity       int           // maximum running requests; default 8
	WaitLimit      int           // maximum waiting requests, beyond which the target responds with 429; default 64
	HardLimit      int           // maximum running and waiting requests, beyond which a warm target crashes; 0 means none
	MaxColdRunning int           // maximum running requests, beyond which a cold target crashes; 0 disables cold starts
	WarmAfter      int           // number of completed requests after which the target is warm; default MaxColdRunning
	ColdFactor     float64       // factor on the time to the first byte of a cold target; default 5
	Restart        time.Duration // time for which a crashed target refuses connections; default 300 ms
	LoadLag        time.Duration // delay of the numbers in load reports
}

func (settings Settings) withDefaults() Settings {
	if settings.Capacity == 0 {
		settings.Capacity = defaultCapacity
	}
	if settings.WaitLimit == 0 {
		settings.WaitLimit = defaultWaitLimit
	}
	if settings.WarmAfter == 0 {
		settings.WarmAfter = settings.MaxColdRunning
	}
	if settings.ColdFactor == 0 {
		settings.ColdFactor = defaultColdFactor
	}
	if settings.Restart == 0 {
		settings.Restart = defaultRestart
	}
	return settings
}

// Faults are the injected faults; the zero value is a healthy target.
type Faults struct {
	Slow       float64 // factor on all service times; 0 counts as 1
	Freeze     bool    // accepts requests and load reports without ever responding
	FailNext   int     // number of further requests that fail with status 500
	SwapIDs    bool    // makes responses carry the IDs of another request
	PoisonText string  // text in the body of a request that crashes the target
}

// Counts are the counters of a target since it was created.
type Counts struct {
	Received int
	Finished int
	Falls    int // number of crashes for any reason
	MostRun  int // maximum number of requests that ran at once
	MostCold int // maximum number of requests that ran at once while cold
	Tokens   int
}

// Outcomes of a request in the journal; an empty outcome means that it has not ended.
const (
	Done      = "Done"
	Rejected  = "Rejected"
	Failed    = "Failed"
	Cancelled = "Cancelled"
	Crashed   = "Crashed"
)

// Record is one request in the journal.
type Record struct {
	Request  string
	Stage    string
	Attempt  string
	Key      string // header Idempotency-Key
	Path     string
	Start    string // start ID of the target at the time of the request
	Time     time.Time
	Body     string // first 1,000 bytes of the body
	Priority int
	Outcome  string
}
