package etcd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"catkincove/core"
)

// serve starts a store that sends the same status and response to each call; it returns a client for the store and a
// pointer to the path and body of the last request.
func serve(t *testing.T, status int, response string) (*Client, *string) {
	var body string
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		content, _ := io.ReadAll(request.Body)
		body = request.URL.Path + " " + string(content)
		writer.WriteHeader(status)
		_, _ = io.WriteString(writer, response)
	}))
	t.Cleanup(server.Close)
	return &Client{Endpoints: []string{server.URL}}, &body
}

// TestCalls guards against requests and responses that differ from the etcd gateway protocol, and against a conclusion from a response that says nothing
// about the call: a lease would count as expired, a key as absent, a condition as not met. In base64 "k" is "aw==" and
// "v" is "dg==".
func TestCalls(t *testing.T) {
	zero, seven := core.Revision(0), core.Revision(7)
	entry := core.Entry{Key: "k", Value: []byte("v"), CreateRevision: 2, ModRevision: 5, Lease: 9}
	const kv = `{"key":"aw==","value":"dg==","create_revision":"2","mod_revision":"5","version":"1","lease":"9"}`
	txn := core.Txn{
		Compares:  []core.Compare{{Key: "k", ModRevision: &zero}, {Key: "k", CreateRevision: &seven}, {Key: "k", Value: []byte("v")}},
		Puts:      []core.Put{{Key: "k", Value: []byte("v"), Lease: 9}},
		Deletes:   []string{"v"},
		OnFailure: []string{"k"},
	}
	const txnBody = `{"compare":[{"key":"aw==","mod_revision":"0","result":"EQUAL","target":"MOD"},` +
		`{"create_revision":"7","key":"aw==","result":"EQUAL","target":"CREATE"},` +
		`{"key":"aw==","result":"EQUAL","target":"VALUE","value":"dg=="}],` +
		`"failure":[{"request_range":{"key":"aw=="}}],` +
		`"success":[{"request_put":{"key":"aw==","lease":"9","value":"dg=="}},{"request_delete_range":{"key":"dg=="}}]}`
	tests := []struct {
		name     string
		status   int
		response string
		call     func(context.Context, *Client) (any, error)
		body     string
		want     any
		err      error
	}{
		{"get", 200, `{"header":{"revision":"8"},"kvs":[` + kv + `],"count":"1"}`,
			func(ctx context.Context, client *Client) (any, error) { return client.Get(ctx, "k") },
			`/v3/kv/range {"key":"aw=="}`, core.Snapshot{Revision: 8, Entries: []core.Entry{entry}}, nil},
		{"get absent", 200, `{"header":{"revision":"8"}}`,
			func(ctx context.Context, client *Client) (any, error) { return client.Get(ctx, "k") },
			`/v3/kv/range {"key":"aw=="}`, core.Snapshot{Revision: 8, Entries: []core.Entry{}}, nil},
		{"commit", 200, `{"header":{"revision":"8"},"succeeded":true,"responses":[{"response_put":{}}]}`,
			func(ctx context.Context, client *Client) (any, error) { return client.Commit(ctx, txn) },
			`/v3/kv/txn ` + txnBody, core.TxnResult{Succeeded: true, Revision: 8}, nil},
		{"commit with failed compare", 200, `{"header":{"revision":"8"},"responses":[{"response_range":{"kvs":[` + kv + `]}}]}`,
			func(ctx context.Context, client *Client) (any, error) { return client.Commit(ctx, txn) },
			`/v3/kv/txn ` + txnBody, core.TxnResult{Revision: 8, Entries: []core.Entry{entry}}, nil},
		{"commit all", 200, `{"header":{"revision":"8"},"succeeded":true,"responses":[{"response_txn":{"succeeded":true}},{"response_txn":{}}]}`,
			func(ctx context.Context, client *Client) (any, error) {
				return client.CommitAll(ctx, []core.Txn{txn, txn})
			},
			`/v3/kv/txn {"success":[{"request_txn":` + txnBody + `},{"request_txn":` + txnBody + `}]}`,
			[]core.TxnResult{{Succeeded: true, Revision: 8}, {Revision: 8}}, nil},
		{"grant", 200, `{"header":{},"ID":"77","TTL":"3"}`,
			func(ctx context.Context, client *Client) (any, error) {
				return client.GrantLease(ctx, 2500*time.Millisecond)
			},
			`/v3/lease/grant {"TTL":"3"}`, core.LeaseID(77), nil},
		{"keep alive", 200, `{"result":{"header":{},"ID":"77","TTL":"3"}}`,
			func(ctx context.Context, client *Client) (any, error) { return client.KeepAlive(ctx, 77) },
			`/v3/lease/keepalive {"ID":"77"}`, 3 * time.Second, nil},
		{"keep alive expired", 200, `{"result":{"header":{},"ID":"77"}}`,
			func(ctx context.Context, client *Client) (any, error) { return client.KeepAlive(ctx, 77) },
			`/v3/lease/keepalive {"ID":"77"}`, nil, core.ErrLeaseNotFound},
		{"keep alive, error in the stream", 200, `{"error":{"code":14,"message":"etcdserver: no leader"}}`,
			func(ctx context.Context, client *Client) (any, error) { return client.KeepAlive(ctx, 77) },
			`/v3/lease/keepalive {"ID":"77"}`, nil, core.ErrStoreUnavailable},
		{"keep alive, no lease in the stream", 200, `{"error":{"code":5,"message":"etcdserver: requested lease not found"}}`,
			func(ctx context.Context, client *Client) (any, error) { return client.KeepAlive(ctx, 77) },
			`/v3/lease/keepalive {"ID":"77"}`, nil, core.ErrLeaseNotFound},
		{"keep alive, another lease", 200, `{"result":{"header":{},"ID":"78","TTL":"3"}}`,
			func(ctx context.Context, client *Client) (any, error) { return client.KeepAlive(ctx, 77) },
			`/v3/lease/keepalive {"ID":"77"}`, nil, core.ErrStoreUnavailable},
		{"keep alive, empty object", 200, `{}`,
			func(ctx context.Context, client *Client) (any, error) { return client.KeepAlive(ctx, 77) },
			`/v3/lease/keepalive {"ID":"77"}`, nil, core.ErrStoreUnavailable},
		{"get, empty object", 200, `{}`,
			func(ctx context.Context, client *Client) (any, error) { return client.Get(ctx, "k") },
			`/v3/kv/range {"key":"aw=="}`, nil, core.ErrStoreUnavailable},
		{"commit, empty object", 200, `{}`,
			func(ctx context.Context, client *Client) (any, error) { return client.Commit(ctx, txn) },
			`/v3/kv/txn ` + txnBody, nil, core.ErrStoreUnavailable},
		{"revoke, empty object", 200, `{}`,
			func(ctx context.Context, client *Client) (any, error) { return nil, client.RevokeLease(ctx, 77) },
			`/v3/lease/revoke {"ID":"77"}`, nil, core.ErrStoreUnavailable},
		{"revoke", 404, `{"code":5,"message":"etcdserver: requested lease not found"}`,
			func(ctx context.Context, client *Client) (any, error) { return nil, client.RevokeLease(ctx, 77) },
			`/v3/lease/revoke {"ID":"77"}`, nil, core.ErrLeaseNotFound},
		{"rate limit", 429, `{"message":"too many requests"}`,
			func(ctx context.Context, client *Client) (any, error) { return client.Get(ctx, "k") },
			`/v3/kv/range {"key":"aw=="}`, nil, core.ErrStoreUnavailable},
		{"malformed response", 200, `{"header":`,
			func(ctx context.Context, client *Client) (any, error) { return client.Get(ctx, "k") },
			`/v3/kv/range {"key":"aw=="}`, nil, core.ErrStoreUnavailable},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			client, body := serve(t, test.status, test.response)
			got, err := test.call(t.Context(), client)
			if *body != test.body {
				t.Errorf("sent %s\nwant %s", *body, test.body)
			}
			if !errors.Is(err, test.err) || test.err == nil && !reflect.DeepEqual(got, test.want) {
				t.Errorf("got %v, %v\nwant %v, %v", got, err, test.want, test.err)
			}
		})
	}
}

// TestList guards against pages that are read at different revisions, and against keys lost between two pages.
func TestList(t *testing.T) {
	var requests []string
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		content, _ := io.ReadAll(request.Body)
		requests = append(requests, string(content))
		if len(requests) == 1 {
			_, _ = io.WriteString(writer, `{"header":{"revision":"8"},"kvs":[{"key":"aw=="}],"more":true}`)
			return
		}
		_, _ = io.WriteString(writer, `{"header":{"revision":"9"},"kvs":[{"key":"a2s="}]}`)
	}))
	defer server.Close()
	client := &Client{Endpoints: []string{server.URL}}
	snapshot, err := client.List(t.Context(), "k")
	if err != nil || snapshot.Revision != 8 || len(snapshot.Entries) != 2 || snapshot.Entries[1].Key != "kk" {
		t.Fatalf("%v, %v", snapshot, err)
	}
	const second = `{"key":"awA=","limit":"500","range_end":"bA==","revision":"8"}`
	if requests[1] != second {
		t.Fatalf("request for the second page: %s", requests[1])
	}
}

// TestFailover guards against a read that spends its whole timeout on an unresponsive endpoint, and against a write that
// is sent twice.
func TestFailover(t *testing.T) {
	unresponsive := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		_, _ = io.ReadAll(request.Body)
		<-request.Context().Done()
	}))
	defer unresponsive.Close()
	refusing := httptest.NewServer(nil)
	refusing.Close()
	good, _ := serve(t, 200, `{"header":{"revision":"8"}}`)
	tests := []struct {
		name  string
		first string
		write bool
		fails bool
	}{
		{"read, unresponsive endpoint", unresponsive.URL, false, false},
		{"read, refusing endpoint", refusing.URL, false, false},
		{"write, unresponsive endpoint", unresponsive.URL, true, true},
		{"write, refusing endpoint", refusing.URL, true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			client := &Client{Endpoints: []string{test.first, good.Endpoints[0]}, Timeout: 400 * time.Millisecond}
			call := func() (err error) {
				if test.write {
					_, err = client.Commit(t.Context(), core.Txn{})
				} else {
					_, err = client.Get(t.Context(), "k")
				}
				return err
			}
			started := time.Now()
			if err := call(); errors.Is(err, core.ErrStoreUnavailable) != test.fails {
				t.Fatalf("error %v", err)
			}
			if elapsed := time.Since(started); elapsed > 450*time.Millisecond {
				t.Fatalf("took %s", elapsed)
			}
			if err := call(); err != nil {
				t.Fatalf("the next call does not start at the available endpoint: %v", err)
			}
			if counters := client.Counters(); counters.BytesSent == 0 || counters.BytesReceived == 0 || len(counters.Failures) != 1 {
				t.Fatalf("counters %+v", counters)
			}
		})
	}
}

// TestWatch guards against changes of one message that lose their order, progress notifications that are decoded wrongly,
// and watches that stall or end without an error.
func TestWatch(t *testing.T) {
	const head = `{"result":{"header":{"revision":"8"},"created":true}}`
	tests := []struct {
		name   string
		lines  []string
		status int
		want   string
		err    error
	}{
		{"changes", []string{head,
			`{"result":{"header":{"revision":"10"},"events":[{"kv":{"key":"aw==","value":"dg==","mod_revision":"9"}},` +
				`{"type":"DELETE","kv":{"key":"aw==","mod_revision":"10"}}]}}`}, 200,
			"0 put0 del0; 9 put1 del0; 10 put0 del1; ", core.ErrStoreUnavailable},
		{"progress", []string{head, `{"result":{"header":{"revision":"12"}}}`}, 200, "0 put0 del0; 12 put0 del0; ", core.ErrStoreUnavailable},
		{"compacted", []string{`{"result":{"header":{"revision":"12"},"canceled":true,"compact_revision":"11"}}`}, 200, "", core.ErrCompacted},
		{"cancelled", []string{`{"result":{"header":{"revision":"12"},"canceled":true,"cancel_reason":"x"}}`}, 200, "", core.ErrStoreUnavailable},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var body string
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
				var content map[string]map[string]any
				_ = json.NewDecoder(request.Body).Decode(&content)
				body = fmt.Sprint(content["create_request"])
				_, _ = io.WriteString(writer, strings.Join(test.lines, "\n")+"\n")
				writer.(http.Flusher).Flush()
				<-request.Context().Done()
			}))
			defer server.Close()
			client := &Client{Endpoints: []string{server.URL}, StallTimeout: 100 * time.Millisecond}
			events, err := client.Watch(t.Context(), "k", 7)
			if err != nil {
				t.Fatal(err)
			}
			var got string
			var last error
			started := time.Now()
			for event := range events {
				if last = event.Err; last == nil {
					got += fmt.Sprintf("%d put%d del%d; ", event.Revision, len(event.Puts), len(event.Deletes))
				}
			}
			if elapsed := time.Since(started); elapsed > time.Second {
				t.Errorf("stalled watch ended after %s", elapsed)
			}
			if got != test.want || !errors.Is(last, test.err) {
				t.Errorf("events %q, %v\nwant %q, %v", got, last, test.want, test.err)
			}
			if body != "map[key:aw== progress_notify:true range_end:bA== start_revision:8]" {
				t.Errorf("watch request: %s", body)
			}
		})
	}
}
