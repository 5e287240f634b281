package etcd

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"catkincove/core"
	"catkincove/stand/fault"
	"catkincove/stand/kvsrv"
)

// TestRepeatedStoreResponses guards against a response that is read as the one to another call, because the store sends it a second time when its
// connection is in use again: a write whose condition is not met would count as done, so that an at-most-once call runs twice, an expired lease as
// renewed, an older head as read now, and a refusal of one call as one of the next.
func TestRepeatedStoreResponses(t *testing.T) {
	store := kvsrv.New(kvsrv.Settings{})
	repeater, err := fault.ListenRepeating(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/v3/watch" {
			_, _ = fmt.Fprintf(writer, `{"result":{"header":{"revision":"%d"}}}`, store.Revision())
			return
		}
		store.ServeHTTP(writer, request)
	}))
	if err != nil {
		t.Fatal(err)
	}
	defer repeater.Close()
	client := &Client{Endpoints: []string{"http://" + repeater.Address()}}
	elsewhere := &Client{Endpoints: client.Endpoints, Transport: &http.Transport{DisableKeepAlives: true}}
	ctx := t.Context()
	zero := core.Revision(0)
	for i := range 12 {
		create := func(key string) core.Txn {
			return core.Txn{Compares: []core.Compare{{Key: key, ModRevision: &zero}}, Puts: []core.Put{{Key: key, Value: []byte(key)}}, OnFailure: []string{key}}
		}
		key, other := fmt.Sprintf("once/%d", i), fmt.Sprintf("other/%d", i)
		if result, err := client.Commit(ctx, create(key)); err != nil || !result.Succeeded {
			t.Errorf("round %d: first create: %+v, %v", i, result, err)
		}
		result, err := client.Commit(ctx, create(key))
		if err != nil || result.Succeeded || len(result.Entries) != 1 || result.Entries[0].Key != key {
			t.Errorf("round %d: second create of %s, whose condition is not met: %+v, %v", i, key, result, err)
		}
		if result, err := client.Commit(ctx, create(other)); err != nil || !result.Succeeded {
			t.Errorf("round %d: create of %s after one that failed: %+v, %v", i, other, result, err)
		}
		if results, err := client.CommitAll(ctx, []core.Txn{create(other), create(other + "/b")}); err != nil || results[0].Succeeded || !results[1].Succeeded {
			t.Errorf("round %d: two creates: %+v, %v", i, results, err)
		}
		if results, err := client.CommitAll(ctx, []core.Txn{create(other + "/c"), create(other)}); err != nil || !results[0].Succeeded || results[1].Succeeded {
			t.Errorf("round %d: two other creates: %+v, %v", i, results, err)
		}
		if listed, err := client.List(ctx, "once/"); err != nil || len(listed.Entries) != i+1 || !strings.HasPrefix(listed.Entries[0].Key, "once/") {
			t.Errorf("round %d: list of %d records: %v, %v", i, i+1, listed.Entries, err)
		}
		if read, err := client.Get(ctx, "nowhere"); err != nil || len(read.Entries) != 0 {
			t.Errorf("round %d: read of a key that does not exist: %v, %v", i, read.Entries, err)
		}
		put := core.Txn{Puts: []core.Put{{Key: "head", Value: fmt.Append(nil, i)}}}
		before, err := client.Get(ctx, "head")
		if err != nil || (len(before.Entries) == 0) != (i == 0) {
			t.Errorf("round %d: head before the write: %+v, %v", i, before, err)
		}
		if _, err := elsewhere.Commit(ctx, put); err != nil {
			t.Fatal(err)
		}
		if head, err := client.Get(ctx, "head"); err != nil || len(head.Entries) != 1 || string(head.Entries[0].Value) != fmt.Sprint(i) {
			t.Errorf("round %d: head after the write of another client: %+v, %v", i, head, err)
		}
		lease, err := client.GrantLease(ctx, time.Minute)
		if err != nil || lease == 0 {
			t.Errorf("round %d: lease %d, %v", i, lease, err)
		}
		if _, err := client.KeepAlive(ctx, lease); err != nil {
			t.Errorf("round %d: renewal: %v", i, err)
		}
		if err := client.RevokeLease(ctx, lease); err != nil {
			t.Errorf("round %d: end of a lease: %v", i, err)
		}
		if _, err := client.KeepAlive(ctx, lease); !errors.Is(err, core.ErrLeaseNotFound) {
			t.Errorf("round %d: renewal of a lease that has ended: %v", i, err)
		}
		if err := client.RevokeLease(ctx, lease); !errors.Is(err, core.ErrLeaseNotFound) {
			t.Errorf("round %d: second end of a lease: %v", i, err)
		}
		next, err := client.GrantLease(ctx, time.Minute)
		if err != nil || next == lease {
			t.Errorf("round %d: lease %d after %d, %v", i, next, lease, err)
		}
		if event := firstEvent(t, client); event.Err != nil || int64(event.Revision) != store.Revision() {
			t.Errorf("round %d: first event of a watch: %+v", i, event)
		}
	}
}

// firstEvent returns the first event of a new watch.
func firstEvent(t *testing.T, client *Client) core.WatchEvent {
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	events, err := client.Watch(ctx, "k", 1)
	if err != nil {
		return core.WatchEvent{Err: err}
	}
	return <-events
}
