package etcd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"catkincove/core"
)

// Watch reports changes of keys with the prefix after the revision until ctx ends, one event per store revision.
func (client *Client) Watch(ctx context.Context, prefix string, after core.Revision) (<-chan core.WatchEvent, error) {
	if len(client.Endpoints) == 0 {
		return nil, fmt.Errorf("watch: no endpoints: %w", core.ErrStoreUnavailable)
	}
	create := message{
		"key":             encodeKey(prefix),
		"range_end":       rangeEnd(prefix),
		"start_revision":  encodeInt(int64(after) + 1),
		"progress_notify": true,
	}
	body, err := json.Marshal(message{"create_request": create})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	// The timer first bounds the wait for the response headers, then the time between messages.
	stallTimer := time.AfterFunc(client.timeout(), cancel)
	response, err := client.post(ctx, "/v3/watch", body)
	if err == nil && response.StatusCode != http.StatusOK {
		content, _ := io.ReadAll(io.LimitReader(response.Body, 1<<10))
		response.Body.Close()
		err = statusError("/v3/watch", response.StatusCode, content)
	}
	if err != nil {
		stallTimer.Stop()
		cancel()
		client.preferred.Add(1)
		return nil, err
	}
	events := make(chan core.WatchEvent)
	watch := watch{client: client, body: response.Body, stallTimer: stallTimer, events: events}
	go watch.run(ctx, cancel)
	return events, nil
}

type watch struct {
	client     *Client
	body       io.ReadCloser
	stallTimer *time.Timer
	events     chan<- core.WatchEvent
}

func (watch *watch) stallTimeout() time.Duration {
	if watch.client.StallTimeout > 0 {
		return watch.client.StallTimeout
	}
	return defaultStallTimeout
}

// Read counts the bytes of the stream.
func (watch *watch) Read(buffer []byte) (int, error) {
	count, err := watch.body.Read(buffer)
	watch.client.count(func(counters *Counters) { counters.BytesReceived += int64(count) })
	return count, err
}

func (watch *watch) run(ctx context.Context, cancel context.CancelFunc) {
	defer close(watch.events)
	defer watch.body.Close()
	defer cancel()
	defer watch.stallTimer.Stop()
	err := watch.receive(ctx)
	watch.client.preferred.Add(1)
	// The receiver may have stopped with its context, so the delivery of the last event has a time limit.
	select {
	case watch.events <- core.WatchEvent{Err: err}:
	case <-time.After(watch.stallTimeout()):
	}
}

func (watch *watch) receive(ctx context.Context) error {
	decoder := json.NewDecoder(watch)
	watch.stallTimer.Reset(watch.stallTimeout())
	for {
		var line fields
		if err := decoder.Decode(&line); err != nil {
			return fmt.Errorf("watch: %w: %w", core.ErrStoreUnavailable, err)
		}
		watch.stallTimer.Stop()
		events, err := decodeWatch(line)
		if err != nil {
			return err
		}
		for _, event := range events {
			select {
			case watch.events <- event:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		watch.stallTimer.Reset(watch.stallTimeout())
	}
}

func decodeWatch(line fields) ([]core.WatchEvent, error) {
	if content, found := line["error"]; found {
		return nil, statusError("/v3/watch", http.StatusInternalServerError, content)
	}
	result, err := line.object("result")
	if err != nil {
		return nil, fmt.Errorf("watch: %w", err)
	}
	if compacted, _ := result.number("compact_revision"); compacted > 0 {
		return nil, fmt.Errorf("watch: compacted up to %d: %w", compacted, core.ErrCompacted)
	}
	if result.flag("canceled") {
		return nil, fmt.Errorf("watch: cancelled: %s: %w", result.text("cancel_reason"), core.ErrStoreUnavailable)
	}
	revision, err := result.revision()
	if err != nil {
		return nil, err
	}
	if result.flag("created") {
		revision = 0 // older changes may still follow the created message
	}
	list, err := result.list("events")
	if err != nil {
		return nil, err
	}
	if len(list) == 0 {
		return []core.WatchEvent{{Revision: revision}}, nil
	}
	return decodeChanges(list)
}

// decodeChanges returns one event per revision, because an event does not keep the order of puts and deletes of one key.
func decodeChanges(list []fields) ([]core.WatchEvent, error) {
	var events []core.WatchEvent
	for _, object := range list {
		kv, err := object.object("kv")
		if err != nil {
			return nil, err
		}
		entry, err := decodeEntry(kv)
		if err != nil {
			return nil, err
		}
		if len(events) == 0 || events[len(events)-1].Revision != entry.ModRevision {
			events = append(events, core.WatchEvent{Revision: entry.ModRevision})
		}
		last := &events[len(events)-1]
		if object.text("type") == "DELETE" {
			last.Deletes = append(last.Deletes, entry.Key)
		} else {
			last.Puts = append(last.Puts, entry)
		}
	}
	return events, nil
}
