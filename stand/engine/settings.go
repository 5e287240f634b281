package engine

import "time"

// Defaults of a target.
const (
	defaultCapacity  = 8
	defaultWaiting   = 64
	defaultRestart   = 300 * time.Millisecond
	defaultColdDelay = 5 // a cold target works slower by this factor
	journalLength    = 100_000
)

// Settings are the properties of a target; the zero value works and never falls over.
type Settings struct {
	Capacity    int           // requests that run at once; default 8
	WaitLimit   int           // requests that wait before the target rejects with 429; default 64
	HardLimit   int           // a warm target that holds more, running and waiting, falls over; 0 means none
	ColdBearing int           // a cold target that runs more falls over; 0 means that it has no cold start
	WarmAfter   int           // completed requests after which the target is warm; default ColdBearing
	ColdFactor  float64       // by which a cold target takes longer to begin a response; default 5
	Restart     time.Duration // time that it refuses connections after falling over; default 300 ms
	LoadLag     time.Duration // age of the figures in load reports
}

func (settings Settings) withDefaults() Settings {
	if settings.Capacity == 0 {
		settings.Capacity = defaultCapacity
	}
	if settings.WaitLimit == 0 {
		settings.WaitLimit = defaultWaiting
	}
	if settings.WarmAfter == 0 {
		settings.WarmAfter = settings.ColdBearing
	}
	if settings.ColdFactor == 0 {
		settings.ColdFactor = defaultColdDelay
	}
	if settings.Restart == 0 {
		settings.Restart = defaultRestart
	}
	return settings
}

// Faults are the scripted faults; the zero value is a healthy target.
type Faults struct {
	Slow       float64 // factor on all times; 0 counts as 1
	Freeze     bool    // requests and load reports are accepted and never answered
	FailNext   int     // this many further requests fail with status 500
	SwapIDs    bool    // responses carry the identifiers of another request
	PoisonText string  // a request whose body contains it crashes the target
}

// Counts are what a target counted since it was made.
type Counts struct {
	Received int
	Finished int
	Falls    int // restarts for any reason
	MostRun  int // greatest number of requests running at once
	MostCold int // the same while cold
	Tokens   int
}

// Outcomes of a request in the journal; empty means that it has not ended.
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
	Key      string // Idempotency-Key
	Path     string
	Start    string // start identifier of the target that received it
	Time     time.Time
	Body     string // first 1,000 bytes
	Priority int
	Outcome  string
}
