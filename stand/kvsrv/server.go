package kvsrv

import (
	"maps"
	"sync"
	"time"

	"catkincove/core"
	"catkincove/stand/wire"
)

// Limits and defaults of the store.
const (
	maxValue        = core.MaxStoreValue
	maxTxnOps       = core.MaxTxnOps
	defaultProgress = 250 * time.Millisecond
	defaultHistory  = 100_000 // events
)

// Settings are the properties of the store; the zero value works.
type Settings struct {
	Clock    core.Clock    // time source; default: the system clock
	Progress time.Duration // interval between progress notifications; default 250 ms
	History  int           // number of events kept for watches; default 100,000
}

// Server is the store; it is an http.Handler and safe for concurrent use.
type Server struct {
	settings        Settings
	mutex           sync.Mutex
	server          *wire.Server // server that Attach set; nil when the handler runs in another server
	state           state
	leases          map[int64]*lease
	lastID          int64
	history         []event
	compactRevision int64         // oldest revision that the history still covers
	changed         chan struct{} // channel that is closed and replaced at each change
	faults          Faults
	staleState      *state
	counters        map[string]int64
}

// state is the content of the store at one revision.
type state struct {
	revision int64
	keys     map[string]*entry
}

// entry is one version of a key; it is immutable.
type entry struct {
	key, value                           []byte
	createRevision, modRevision, version int64
	lease                                int64
}

// event is one change; put is nil for a deletion, previous is nil for a creation.
type event struct {
	revision      int64
	key           string
	put, previous *entry
}

// New returns an empty store.
func New(settings Settings) *Server {
	if settings.Clock == nil {
		settings.Clock = core.SystemClock{}
	}
	if settings.Progress == 0 {
		settings.Progress = defaultProgress
	}
	if settings.History == 0 {
		settings.History = defaultHistory
	}
	return &Server{
		settings: settings,
		state:    state{revision: 1, keys: map[string]*entry{}},
		leases:   map[int64]*lease{},
		changed:  make(chan struct{}),
		counters: map[string]int64{},
	}
}

// Attach sets the server whose connections the store resets when it goes down.
func (server *Server) Attach(listening *wire.Server) { server.server = listening }

// Counters returns the number of calls by name; a watch counts once, however long it stays open.
func (server *Server) Counters() map[string]int64 {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return maps.Clone(server.counters)
}

// Revision returns the current revision.
func (server *Server) Revision() int64 {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.expire()
	return server.state.revision
}

// Value returns the value of a key and whether the key exists, regardless of faults.
func (server *Server) Value(key string) ([]byte, bool) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.expire()
	found := server.state.keys[key]
	if found == nil {
		return nil, false
	}
	return found.value, true
}

// Compact discards the history before the revision, so that watches that start earlier are cancelled.
func (server *Server) Compact(revision int64) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.compactTo(min(revision, server.state.revision))
	server.broadcast()
}

func (server *Server) compactTo(revision int64) {
	kept := 0
	for kept < len(server.history) && server.history[kept].revision < revision {
		kept++
	}
	server.history = append([]event(nil), server.history[kept:]...)
	server.compactRevision = max(server.compactRevision, revision)
}

func (server *Server) broadcast() {
	close(server.changed)
	server.changed = make(chan struct{})
}

// set writes an entry, or deletes the key when put is nil, at the revision.
func (server *Server) set(revision int64, key string, put *entry) {
	previous := server.state.keys[key]
	server.detach(key, previous)
	if put == nil {
		delete(server.state.keys, key)
	} else {
		server.state.keys[key] = put
		if put.lease != 0 {
			server.leases[put.lease].keys[key] = struct{}{}
		}
	}
	server.history = append(server.history, event{revision: revision, key: key, put: put, previous: previous})
	server.state.revision = revision
}

// publish compacts an oversized history and wakes the watches after the changes of one call.
func (server *Server) publish() {
	if excess := len(server.history) - server.settings.History; excess > server.settings.History/4 {
		server.compactTo(server.history[excess].revision)
	}
	server.broadcast()
}

// stateAt returns the state at an older revision by undoing the later changes.
func (server *Server) stateAt(revision int64) *state {
	keys := maps.Clone(server.state.keys)
	for index := len(server.history) - 1; index >= 0 && server.history[index].revision > revision; index-- {
		undone := server.history[index]
		if undone.previous == nil {
			delete(keys, undone.key)
		} else {
			keys[undone.key] = undone.previous
		}
	}
	return &state{revision: revision, keys: keys}
}
