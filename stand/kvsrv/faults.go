package kvsrv

import "time"

// Faults are the scripted faults; the zero value is a healthy store.
type Faults struct {
	Down          bool          // connections are closed without an answer
	Delay         time.Duration // before each call takes effect
	LoseAnswers   int           // this many further writes take effect but get no answer
	SilentWatches bool          // watches stay open and send nothing
	StaleReads    bool          // reads see the state of when this was switched on
}

// Faults returns the faults in force.
func (server *Server) Faults() Faults {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.faults
}

// SetFaults replaces the faults; data and leases are kept, and leases run out while the store is down.
func (server *Server) SetFaults(faults Faults) {
	server.mutex.Lock()
	switch {
	case !faults.StaleReads:
		server.stale = nil
	case server.stale == nil:
		server.stale = server.at(server.state.revision)
	}
	falls := faults.Down && !server.faults.Down
	server.faults = faults
	server.broadcast()
	server.mutex.Unlock()
	if falls && server.server != nil {
		server.server.Reset()
	}
}

// SetDown takes the store down or up and keeps the other faults.
func (server *Server) SetDown(down bool) {
	faults := server.Faults()
	faults.Down = down
	server.SetFaults(faults)
}

// loses reports whether the answer to this write is lost.
func (server *Server) loses() bool {
	if server.faults.LoseAnswers == 0 {
		return false
	}
	server.faults.LoseAnswers--
	return true
}
