package kvsrv

import (
	"encoding/json"
	"net/http"
	"sort"
	"time"
)

// watcher is one open watch.
type watcher struct {
	server       *Server
	watch        *watchRequest
	nextRevision int64     // first revision that has not been sent yet
	nextProgress time.Time // time of the next progress notification
	created      bool
}

// serveWatch streams changes until the caller disconnects, the store goes down or the history is compacted.
func (server *Server) serveWatch(writer http.ResponseWriter, request *http.Request, watch *watchRequest) {
	watcher := &watcher{server: server, watch: watch, nextRevision: int64(watch.CreateRequest.StartRevision)}
	if watcher.nextRevision == 0 {
		watcher.nextRevision = server.Revision() + 1
	}
	watcher.nextProgress = server.settings.Clock.Now().Add(server.settings.Progress)
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

// step returns the messages to send now, a channel that is closed at the next change, and the longest time to wait for it.
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
	wait := min(server.nextExpiry(now), watcher.nextProgress.Sub(now))
	if server.faults.SilentWatches {
		return nil, server.changed, wait
	}
	var messages []object
	if !watcher.created {
		watcher.created = true
		messages = append(messages, object{"header": server.header(), "created": true})
	}
	changes := watcher.unsentChanges()
	if changes == nil && progress {
		changes = object{"header": server.header()}
	}
	if changes != nil {
		messages = append(messages, changes)
	}
	return messages, server.changed, wait
}

func (watcher *watcher) progressDue(now time.Time) bool {
	if watcher.nextProgress.After(now) {
		return false
	}
	watcher.nextProgress = now.Add(watcher.server.settings.Progress)
	return watcher.watch.CreateRequest.ProgressNotify
}

// nextExpiry returns the time until the first lease expires, at most the progress interval.
func (server *Server) nextExpiry(now time.Time) time.Duration {
	wait := server.settings.Progress
	for _, lease := range server.leases {
		wait = min(wait, lease.expires.Sub(now)+time.Millisecond)
	}
	return wait
}

// unsentChanges returns a message with the changes that have not been sent yet, or nil.
func (watcher *watcher) unsentChanges() object {
	server, create := watcher.server, watcher.watch.CreateRequest
	if watcher.nextRevision < server.compactRevision {
		return object{"header": server.header(), "canceled": true}.number("compact_revision", server.compactRevision)
	}
	first := sort.Search(len(server.history), func(index int) bool { return server.history[index].revision >= watcher.nextRevision })
	var events []object
	for _, event := range server.history[first:] {
		if inRange(event.key, create.Key, create.RangeEnd) {
			events = append(events, event.object())
		}
	}
	watcher.nextRevision = max(watcher.nextRevision, server.state.revision+1)
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
