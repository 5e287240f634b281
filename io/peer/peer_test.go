package peer

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"reflect"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"catkincove/core"
	"catkincove/io/meter"
	"catkincove/stand/wire"
)

// TestAgesNeverShrink guards against rounding to milliseconds that makes an age smaller, or a grant valid for longer,
// on the receiver's side.
func TestAgesNeverShrink(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		age := time.Duration(rapid.Int64Range(-1, int64(time.Hour)).Draw(t, "age"))
		heartbeat := core.Heartbeat{Members: 7, HoldsLease: true, StoreAge: age, OutageAge: age, Gossip: []core.GossipEntry{{LastSeenAge: age}}}
		got := decodeHeartbeat(encodeHeartbeat(heartbeat))
		for _, decoded := range []time.Duration{got.StoreAge, got.OutageAge, got.Gossip[0].LastSeenAge} {
			if decoded < age || (age < 0) != (decoded < 0) {
				t.Fatalf("age %v became %v", age, decoded)
			}
		}
		if got.Members != heartbeat.Members || got.HoldsLease != heartbeat.HoldsLease {
			t.Fatalf("heartbeat %+v became %+v", heartbeat, got)
		}
		reply := core.GrantReply{Grant: &core.Grant{SendWithin: age, ExpiresAfter: age}}
		grant := decodeGrantReply(encodeGrantReply(reply), core.PoolID{}).Grant
		if age >= 0 && (grant.SendWithin > age || grant.ExpiresAfter > age) {
			t.Fatalf("grant valid for %v became %v and %v", age, grant.SendWithin, grant.ExpiresAfter)
		}
	})
}

type recorder struct {
	Service
	request  core.GrantRequest
	released atomic.Int64
}

func (recorder *recorder) Grant(_ context.Context, request core.GrantRequest) (core.GrantReply, error) {
	recorder.request = request
	rejection := core.Errorf(core.Overloaded, "queue is full").WithRetryAfter(time.Second)
	return core.GrantReply{Rejection: rejection, Revision: 7, Summary: core.PoolSummary{Waiting: 3, ExpectedWait: time.Second}}, nil
}

// TestGrantOverTheWire guards against fields of a grant request or reply that the encoding between daemons loses.
func TestGrantOverTheWire(t *testing.T) {
	mux := http.NewServeMux()
	service := new(recorder)
	Register(mux, service, new(meter.Counter))
	server := httptest.NewUnstartedServer(mux)
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	defer server.Close()
	counter := new(meter.Counter)
	client := NewClient(counter)
	defer client.Close()
	request := core.GrantRequest{
		Pool: core.PoolID{Service: "generate", DataCentre: "a"}, Request: "r", Stage: "s", Attempt: 2, Member: "m",
		Team: "t", Fingerprint: 1 << 63, Prefix: []uint64{1, 2}, TimeLeft: time.Second, ReservedTime: time.Millisecond,
		Work: 5, Priority: -1, Revision: 9, QueueEntry: "q", Exclude: []core.TargetName{"x"},
		Precheck: true,
	}
	reply, err := client.Grant(t.Context(), server.Listener.Addr().String(), request)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(service.request, request) {
		t.Errorf("owner received %+v, want %+v", service.request, request)
	}
	rejection := reply.Rejection
	if rejection == nil || rejection.Kind != core.Overloaded || rejection.Run != core.NotRun || rejection.RetryAfter != time.Second {
		t.Errorf("rejection is %+v", rejection)
	}
	if reply.Revision != 7 || reply.Summary.Waiting != 3 || reply.Summary.ExpectedWait != time.Second {
		t.Errorf("reply is %+v", reply)
	}
	if counter.BytesWritten() == 0 || counter.BytesRead() == 0 {
		t.Errorf("counted %d bytes written and %d read", counter.BytesWritten(), counter.BytesRead())
	}
}

func (recorder *recorder) Heartbeat(context.Context, core.Heartbeat) (core.Heartbeat, error) {
	return core.Heartbeat{Members: 7}, nil
}

func (recorder *recorder) Config(context.Context, core.ConfigRequest) (core.ConfigReply, error) {
	return core.ConfigReply{Revision: 9}, nil
}

func (recorder *recorder) Release(context.Context, core.Release) error {
	recorder.released.Add(1)
	return nil
}

// TestCutFrames guards against a response that ends early and counts as one without a body: a rejection that is missing, or an empty configuration. The
// connection ends after each byte, also of the second call.
func TestCutFrames(t *testing.T) {
	for _, test := range []struct {
		name string
		call func(ctx context.Context, client *Client, service *recorder, address string) error
	}{
		{"heartbeat", func(ctx context.Context, client *Client, _ *recorder, address string) error {
			reply, err := client.Heartbeat(ctx, address, core.Heartbeat{})
			if err == nil && reply.Members != 7 {
				t.Errorf("%+v", reply)
			}
			return err
		}},
		{"config", func(ctx context.Context, client *Client, _ *recorder, address string) error {
			reply, err := client.Config(ctx, address, core.ConfigRequest{})
			if err == nil && reply.Revision != 9 {
				t.Errorf("%+v", reply)
			}
			return err
		}},
		{"grant", func(ctx context.Context, client *Client, _ *recorder, address string) error {
			reply, err := client.Grant(ctx, address, core.GrantRequest{})
			if err == nil && reply.Rejection == nil {
				t.Errorf("%+v", reply)
			}
			return err
		}},
		{"release", func(ctx context.Context, client *Client, service *recorder, address string) error {
			before := service.released.Load()
			err := client.Release(ctx, address, core.Release{})
			if err == nil && service.released.Load() == before {
				t.Error("the release did not arrive")
			}
			return err
		}},
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset=%v", test.name, reset), func(t *testing.T) {
				t.Parallel()
				mux := http.NewServeMux()
				service := new(recorder)
				Register(mux, service, new(meter.Counter))
				server := httptest.NewUnstartedServer(mux)
				server.Config.Protocols = new(http.Protocols)
				server.Config.Protocols.SetUnencryptedHTTP2(true)
				listener := &wire.CutListener{Listener: server.Listener}
				listener.Reset.Store(reset)
				server.Listener = listener
				server.Start()
				defer server.Close()
				// exchange makes two calls and returns how many have succeeded.
				exchange := func() (succeeded int) {
					client := NewClient(new(meter.Counter))
					defer client.Close()
					for range 2 {
						if test.call(t.Context(), client, service, server.Listener.Addr().String()) == nil {
							succeeded++
						}
					}
					return succeeded
				}
				if exchange() != 2 {
					t.Fatal("calls fail without a cut")
				}
				cut := [3]int{} // by calls that have succeeded
				for limit := range listener.Written.Load() {
					listener.Limit.Store(limit + 1)
					cut[exchange()]++
				}
				if cut[0] < 20 || cut[1] < 10 {
					t.Errorf("calls that succeeded before the connection was cut: %v", cut)
				}
			})
		}
	}
}
