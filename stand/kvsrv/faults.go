package kvsrv

import "time"

// Faults are the injected faults; the zero value is a healthy store.
type Faults struct {
	Down          bool          // closes connections without a response
	Delay         time.Duration // time by which each call is delayed before it takes effect
	LoseAnswers   int           // number of further writes that take effect but get no response
	SilentWatches bool          // keeps watches open without sending anything
	StaleReads    bool          // makes reads return the state at the time when this was set
}

// Faults returns the faults in force.
func (server *Server) Faults() Faults {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.faults
}

// SetFaults replaces the faults; data and leases are kept, and leases expire also while the store is down.
func (server *Server) SetFaults(faults Faults) {
	server.mutex.Lock()
	switch {
	case !faults.StaleReads:
		server.staleState = nil
	case server.staleState == nil:
		server.staleState = server.stateAt(server.state.revision)
	}
	goesDown := faults.Down && !server.faults.Down
	server.faults = faults
	server.broadcast()
	server.mutex.Unlock()
	if goesDown && server.server != nil {
		server.server.Reset()
	}
}

// SetDown takes the store down or brings it back and keeps the other faults.
func (server *Server) SetDown(down bool) {
	faults := server.Faults()
	faults.Down = down
	server.SetFaults(faults)
}

// losesResponse reports whether the response to this write is lost, and counts LoseAnswers down.
func (server *Server) losesResponse() bool {
	if server.faults.LoseAnswers == 0 {
		return false
	}
	server.faults.LoseAnswers--
	return true
}
