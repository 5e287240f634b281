package engine

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"catkincove/stand/wire"
)

// Engine is the part of a simulated target that admits and counts requests; it is safe for concurrent use.
type Engine struct {
	settings    Settings
	mutex       sync.Mutex
	server      *wire.Server // server that Attach set; nil when the handler runs in another server
	name        string
	incarnation *incarnation
	down        bool
	halted      bool
	waiting     []*waiter
	running     int
	faults      Faults
	counts      Counts
	journal     []*Record
	loads       []load
	onCrash     func()
}

// incarnation is the state of the target between a start and the next crash.
type incarnation struct {
	startID   string
	completed int
	ended     chan struct{}
}

// waiter is a request in the queue; admitted is closed when it gets a slot.
type waiter struct {
	priority int
	admitted chan struct{}
}

// load is one sample for load reports.
type load struct {
	at               time.Time
	startID          string
	running, waiting int
}

// New returns a cold engine; the name is part of its start IDs.
func New(name string, settings Settings) *Engine {
	engine := &Engine{settings: settings.withDefaults(), name: name}
	engine.startIncarnation()
	return engine
}

// Attach sets the server that refuses connections while the engine restarts.
func (engine *Engine) Attach(server *wire.Server) { engine.server = server }

// OnCrash sets a function that runs at each crash, before the target restarts.
func (engine *Engine) OnCrash(function func()) { engine.onCrash = function }

func (engine *Engine) startIncarnation() {
	startID := fmt.Sprintf("%s-%08x", engine.name, rand.Uint32())
	engine.incarnation = &incarnation{startID: startID, ended: make(chan struct{})}
	engine.running, engine.waiting = 0, nil
	engine.recordLoad()
}

// StartID returns the current start ID.
func (engine *Engine) StartID() string {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.incarnation.startID
}

// Cold reports whether the target is cold.
func (engine *Engine) Cold() bool {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.cold()
}

func (engine *Engine) cold() bool {
	return engine.settings.MaxColdRunning > 0 && engine.incarnation.completed < engine.settings.WarmAfter
}

// Faults returns the faults that are injected now.
func (engine *Engine) Faults() Faults {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.faults
}

// SetFaults replaces the faults.
func (engine *Engine) SetFaults(faults Faults) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.faults = faults
}

// EditFaults edits the faults in place.
func (engine *Engine) EditFaults(edit func(*Faults)) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	edit(&engine.faults)
}

// Counts returns the counts so far.
func (engine *Engine) Counts() Counts {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.counts
}

// AddTokens counts generated tokens.
func (engine *Engine) AddTokens(count int) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.counts.Tokens += count
}

// Running returns the number of requests that run now.
func (engine *Engine) Running() int {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.running
}

// Journal returns the requests received, in order.
func (engine *Engine) Journal() []Record {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	records := make([]Record, 0, len(engine.journal))
	for _, record := range engine.journal {
		records = append(records, *record)
	}
	return records
}

// TurnCold makes the target cold without a restart or a new start ID.
func (engine *Engine) TurnCold() {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.incarnation.completed = 0
}

// Crash closes all connections, refuses new ones for the restart time, and restarts cold with a new start ID.
func (engine *Engine) Crash() {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.crashLocked()
}

// Halt crashes the target and keeps it down until Resume.
func (engine *Engine) Halt() {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.halted = true
	engine.crashLocked()
}

// Resume restarts a halted target, cold and with a new start ID.
func (engine *Engine) Resume() {
	engine.mutex.Lock()
	engine.halted = false
	engine.mutex.Unlock()
	engine.restart()
}

func (engine *Engine) crashLocked() {
	if engine.down {
		return
	}
	engine.down = true
	engine.counts.Falls++
	close(engine.incarnation.ended)
	if engine.onCrash != nil {
		engine.onCrash()
	}
	if engine.server != nil {
		engine.server.Down()
	}
	time.AfterFunc(engine.settings.Restart, engine.restart)
}

func (engine *Engine) restart() {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if engine.halted || !engine.down {
		return
	}
	engine.startIncarnation()
	engine.down = false
	if engine.server != nil {
		_ = engine.server.Up()
	}
}

// recordLoad samples the load for delayed reports, and discards samples that are too old for any report.
func (engine *Engine) recordLoad() {
	now := time.Now()
	engine.loads = append(engine.loads, load{at: now, startID: engine.incarnation.startID, running: engine.running, waiting: len(engine.waiting)})
	for len(engine.loads) > 1 && now.Sub(engine.loads[1].at) > engine.settings.LoadLag {
		engine.loads = engine.loads[1:]
	}
}
