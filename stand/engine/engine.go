package engine

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"catkincove/stand/wire"
)

// Engine is the part of a target that admits and counts requests; it is safe for concurrent use.
type Engine struct {
	settings Settings
	mutex    sync.Mutex
	server   *wire.Server // nil when another server runs the handler
	name     string
	life     *life
	down     bool
	halted   bool
	waiting  []*waiter
	running  int
	faults   Faults
	counts   Counts
	journal  []*Record
	loads    []load
	fallen   func()
}

// life is the time between a start and the next crash.
type life struct {
	start     string
	completed int
	over      chan struct{}
}

type waiter struct {
	priority int
	admitted chan struct{}
}

type load struct {
	at               time.Time
	start            string
	running, waiting int
}

// New returns a cold engine; the name is part of its start identifiers.
func New(name string, settings Settings) *Engine {
	engine := &Engine{settings: settings.withDefaults(), name: name}
	engine.begin()
	return engine
}

// Attach lets the engine refuse connections while it restarts.
func (engine *Engine) Attach(server *wire.Server) { engine.server = server }

// OnFall sets a function that runs at each crash, before the target is back.
func (engine *Engine) OnFall(function func()) { engine.fallen = function }

func (engine *Engine) begin() {
	start := fmt.Sprintf("%s-%08x", engine.name, rand.Uint32())
	engine.life = &life{start: start, over: make(chan struct{})}
	engine.running, engine.waiting = 0, nil
	engine.note()
}

// Start returns the present start identifier.
func (engine *Engine) Start() string {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.life.start
}

// Cold reports whether the target is cold.
func (engine *Engine) Cold() bool {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.cold()
}

func (engine *Engine) cold() bool {
	return engine.settings.ColdBearing > 0 && engine.life.completed < engine.settings.WarmAfter
}

// Faults returns the faults in force.
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

// Change edits the faults.
func (engine *Engine) Change(edit func(*Faults)) {
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

// TurnCold makes the target cold without any notice.
func (engine *Engine) TurnCold() {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.life.completed = 0
}

// Crash closes all connections, refuses new ones for the restart time and comes back cold with a new start identifier.
func (engine *Engine) Crash() {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.fall()
}

// Halt takes the target down until Resume.
func (engine *Engine) Halt() {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.halted = true
	engine.fall()
}

// Resume starts a halted target again, cold and with a new start identifier.
func (engine *Engine) Resume() {
	engine.mutex.Lock()
	engine.halted = false
	engine.mutex.Unlock()
	engine.restart()
}

func (engine *Engine) fall() {
	if engine.down {
		return
	}
	engine.down = true
	engine.counts.Falls++
	close(engine.life.over)
	if engine.fallen != nil {
		engine.fallen()
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
	engine.begin()
	engine.down = false
	if engine.server != nil {
		_ = engine.server.Up()
	}
}

// note remembers the load for later reports; samples that no report can use any more are dropped.
func (engine *Engine) note() {
	now := time.Now()
	engine.loads = append(engine.loads, load{at: now, start: engine.life.start, running: engine.running, waiting: len(engine.waiting)})
	for len(engine.loads) > 1 && now.Sub(engine.loads[1].at) > engine.settings.LoadLag {
		engine.loads = engine.loads[1:]
	}
}
