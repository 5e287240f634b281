package kvsrv

import (
	"encoding/json"
	"net/http"
	"sort"
	"time"
)

// watcher is one open watch.
type watcher struct {
	server  *Server
	watch   *watchRequest
	next    int64     // first revision not yet sent
	due     time.Time // of the next progress notification
	created bool
}

// serveWatch streams changes until the caller leaves, the store goes down or the history is gone.
func (server *Server) serveWatch(writer http.ResponseWriter, request *http.Request, watch *watchRequest) {
	watcher := &watcher{server: server, watch: watch, next: int64(watch.CreateRequest.StartRevision)}
	if watcher.next == 0 {
		watcher.next = server.Revision() + 1
	}
	watcher.due = server.settings.Clock.Now().Add(server.settings.Progress)
	encoder := json.NewEncoder(writer)
	for {
		messages, changed, wait := watcher.step()
		for _, message := range messages {
			_ = encoder.Encode(object{"result": message})
			if message["canceled"] == true {
				return
			}
		}
		_ = http.NewResponseController(writer).Flush()
		select {
		case <-request.Context().Done():
			return
		case <-changed:
		case <-server.settings.Clock.After(wait):
		}
	}
}

// step returns the messages to send now, and a channel and a time of which the earlier one is worth waiting for.
func (watcher *watcher) step() ([]object, <-chan struct{}, time.Duration) {
	server := watcher.server
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.faults.Down {
		panic(http.ErrAbortHandler)
	}
	server.expire()
	now := server.settings.Clock.Now()
	progress := watcher.progressDue(now)
	wait := min(server.nextExpiry(now), watcher.due.Sub(now))
	if server.faults.SilentWatches {
		return nil, server.changed, wait
	}
	var messages []object
	if !watcher.created {
		watcher.created = true
		messages = append(messages, object{"header": server.header(), "created": true})
	}
	changes := watcher.collect()
	if changes == nil && progress {
		changes = object{"header": server.header()}
	}
	if changes != nil {
		messages = append(messages, changes)
	}
	return messages, server.changed, wait
}

func (watcher *watcher) progressDue(now time.Time) bool {
	if watcher.due.After(now) {
		return false
	}
	watcher.due = now.Add(watcher.server.settings.Progress)
	return watcher.watch.CreateRequest.ProgressNotify
}

// nextExpiry returns the time to the earliest end of a lease, at most a progress interval.
func (server *Server) nextExpiry(now time.Time) time.Duration {
	wait := server.settings.Progress
	for _, lease := range server.leases {
		wait = min(wait, lease.expires.Sub(now)+time.Millisecond)
	}
	return wait
}

// collect returns a message with the changes not yet sent, or nil.
func (watcher *watcher) collect() object {
	server, create := watcher.server, watcher.watch.CreateRequest
	if watcher.next < server.compact {
		return object{"header": server.header(), "canceled": true}.number("compact_revision", server.compact)
	}
	first := sort.Search(len(server.history), func(place int) bool { return server.history[place].revision >= watcher.next })
	var events []object
	for _, event := range server.history[first:] {
		if inRange(event.key, create.Key, create.RangeEnd) {
			events = append(events, event.object())
		}
	}
	watcher.next = max(watcher.next, server.state.revision+1)
	if len(events) == 0 {
		return nil
	}
	return object{"header": server.header(), "events": events}
}

func (event event) object() object {
	if event.put != nil {
		return object{"kv": event.put.object()}
	}
	return object{"type": "DELETE", "kv": object{}.bytes("key", []byte(event.key)).number("mod_revision", event.revision)}
}
