package kvsrv

import (
	"encoding/json"
	"net/http"
	"sort"
	"time"
)

// watch streams changes until the caller leaves, the store goes down or the history is gone.
func (server *Server) watch(writer http.ResponseWriter, request *http.Request, watch *watchRequest) {
	create := watch.CreateRequest
	next := int64(create.StartRevision)
	server.mutex.Lock()
	if next == 0 {
		next = server.state.revision + 1
	}
	server.mutex.Unlock()
	encoder := json.NewEncoder(writer)
	created, due := false, server.settings.Clock.Now().Add(server.settings.Progress)
	for {
		server.mutex.Lock()
		server.expire()
		now := server.settings.Clock.Now()
		changed, wait := server.changed, min(server.nextExpiry(now), max(due.Sub(now), time.Millisecond))
		down, silent := server.faults.Down, server.faults.SilentWatches
		message, reached := server.collect(create.Key, create.RangeEnd, next)
		if create.ProgressNotify && message == nil && !due.After(now) {
			message = object{"header": server.headerAt(max(server.state.revision, next-1))}
		}
		header := server.header()
		server.mutex.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		if !silent {
			if !created {
				created = true
				_ = encoder.Encode(object{"result": object{"header": header, "created": true}})
			}
			next = reached
			if message != nil {
				_ = encoder.Encode(object{"result": message})
			}
			_ = http.NewResponseController(writer).Flush()
			if message != nil && message["canceled"] == true {
				return
			}
		}
		if !due.After(now) {
			due = now.Add(server.settings.Progress)
		}
		select {
		case <-request.Context().Done():
			return
		case <-changed:
		case <-server.settings.Clock.After(wait):
		}
	}
}

// nextExpiry returns the time to the earliest end of a lease.
func (server *Server) nextExpiry(now time.Time) time.Duration {
	wait := server.settings.Progress
	for _, lease := range server.leases {
		wait = min(wait, lease.expires.Sub(now)+time.Millisecond)
	}
	return max(wait, time.Millisecond)
}

// collect returns the message with the changes from the revision on, and the next revision to wait for.
func (server *Server) collect(key, end []byte, next int64) (object, int64) {
	if next < server.compact {
		canceled := object{"header": server.header(), "canceled": true}.number("compact_revision", server.compact)
		return canceled, next
	}
	first := sort.Search(len(server.history), func(index int) bool { return server.history[index].revision >= next })
	var events []object
	for _, event := range server.history[first:] {
		if inRange(event.key, key, end) {
			events = append(events, event.object())
		}
	}
	next = max(next, server.state.revision+1)
	if len(events) == 0 {
		return nil, next
	}
	return object{"header": server.header(), "events": events}, next
}

func (event event) object() object {
	if event.put != nil {
		return object{"kv": event.put.object()}
	}
	return object{"type": "DELETE", "kv": object{}.bytes("key", []byte(event.key)).number("mod_revision", event.revision)}
}
