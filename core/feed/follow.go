package feed

import (
	"context"
	"errors"
	"fmt"

	"catkincove/core"
)

// follow lists the live keys and watches them; it lists again only when changes may have been missed.
func (agent *Agent) follow(ctx context.Context) {
	list := true
	for ctx.Err() == nil {
		err := agent.listAndWatch(ctx, list)
		list = errors.Is(err, core.ErrCompacted) || errors.Is(err, errLagging) || !agent.hasListed()
		if !core.Sleep(ctx, agent.Clock, retryDelay) {
			return
		}
	}
}

// hasListed reports whether the live keys have been read from the store.
func (agent *Agent) hasListed() bool {
	agent.mutex.Lock()
	defer agent.mutex.Unlock()
	return agent.state.storeRevision > 0
}

// listAndWatch lists the live keys if asked to, and then watches them until the watch ends.
func (agent *Agent) listAndWatch(ctx context.Context, list bool) error {
	if list {
		if err := agent.list(ctx); err != nil {
			return err
		}
	}
	return agent.watch(ctx)
}

// list replaces the copy by a listing of the live keys.
func (agent *Agent) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	agent.listCount.Add(1)
	snapshot, err := agent.Store.List(ctx, core.WatchPrefix)
	if err != nil {
		return fmt.Errorf("list live keys: %w: %w", errLagging, err)
	}
	agent.mutex.Lock()
	defer agent.mutex.Unlock()
	change, newer := agent.state.replace(snapshot)
	if !newer {
		return fmt.Errorf("store listed revision %d, older than the copy: %w", snapshot.Revision, errLagging)
	}
	agent.postChange(change)
	return nil
}

// watch applies changes until the watch ends; the store client ends a stalled one.
func (agent *Agent) watch(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	agent.mutex.Lock()
	after := agent.state.storeRevision
	agent.relist = func() { cancel(errLagging) }
	agent.mutex.Unlock()
	events, err := agent.Store.Watch(ctx, core.WatchPrefix, after)
	if err != nil {
		return err
	}
	for event := range events {
		if event.Err != nil {
			err = event.Err
			continue
		}
		agent.handleEvent(event)
	}
	if errors.Is(context.Cause(ctx), errLagging) {
		return errLagging
	}
	return err
}

// handleEvent applies a watch event; a progress notification only says that the copy is complete up to its revision.
func (agent *Agent) handleEvent(event core.WatchEvent) {
	agent.mutex.Lock()
	defer agent.mutex.Unlock()
	agent.postChange(agent.state.apply(event))
}
