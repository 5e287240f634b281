package daemon

import (
	"context"
	"sync"

	"catkincove/core"
)

// disconnects tracks the releases after disconnects that are being sent to the owners of pools; the zero value is empty.
type disconnects struct {
	mutex   sync.Mutex
	pending map[core.PoolID]map[chan struct{}]struct{} // channels that are closed when a release has been sent
}

// track registers a release for the pool; the returned function unregisters it.
func (disconnects *disconnects) track(pool core.PoolID) (done func()) {
	sent := make(chan struct{})
	disconnects.mutex.Lock()
	defer disconnects.mutex.Unlock()
	if disconnects.pending == nil {
		disconnects.pending = map[core.PoolID]map[chan struct{}]struct{}{}
	}
	if disconnects.pending[pool] == nil {
		disconnects.pending[pool] = map[chan struct{}]struct{}{}
	}
	disconnects.pending[pool][sent] = struct{}{}
	return func() {
		close(sent)
		disconnects.mutex.Lock()
		defer disconnects.mutex.Unlock()
		if delete(disconnects.pending[pool], sent); len(disconnects.pending[pool]) == 0 {
			delete(disconnects.pending, pool)
		}
	}
}

// wait waits until all releases that are registered for the pool now have been sent, or ctx ends.
func (disconnects *disconnects) wait(ctx context.Context, pool core.PoolID) {
	disconnects.mutex.Lock()
	var channels []chan struct{}
	for sent := range disconnects.pending[pool] {
		channels = append(channels, sent)
	}
	disconnects.mutex.Unlock()
	for _, sent := range channels {
		select {
		case <-sent:
		case <-ctx.Done():
			return
		}
	}
}
