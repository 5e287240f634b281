package proof

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"catkincove/io/caller"
	"catkincove/stand/fault"
	"catkincove/stand/world"
)

const (
	// callerBound: a caller treats 3 s without a line as a dead connection (docs/callers.md) and sends the request again;
	// 2 s are left for its pause and the new attempt under load.
	callerBound = 5 * time.Second
	// pipelineBound is the deadline of the pipelines (5 s), within which daemons answer, and 1 s for a noisy machine.
	pipelineBound = 6 * time.Second
	// atOnceBound is far below any timeout for silence (2 s and more) and above a lookup on a busy machine (0.3 s).
	atOnceBound = 1500 * time.Millisecond
)

// plainClient is a caller of its own with its own connections.
func (fleet *fleet) plainClient(daemons ...*process) *caller.Client {
	client := &caller.Client{Team: "fans", Name: "plain", Fixed: true, HTTP: &http.Client{Transport: &http.Transport{}}}
	for _, daemon := range daemons {
		client.Seeds = append(client.Seeds, daemon.address())
	}
	return client
}

// silentLink is a kind of link on which the open connections go silent.
type silentLink struct {
	name    string
	silence func(fleet *fleet, targets []*fault.Proxy)
	bound   time.Duration // of the requests in flight
	// attempts of the caller in that time: a second one of a daemon's error would have a deadline of its own.
	attempts int
}

var silentLinks = []silentLink{
	{"caller and daemon", func(fleet *fleet, _ []*fault.Proxy) {
		_ = fleet.daemons[0].front.SetMode(fault.Silent)
	}, callerBound, 2},
	{"daemon and targets", func(_ *fleet, targets []*fault.Proxy) {
		for _, proxy := range targets {
			_ = proxy.SetMode(fault.Silent)
		}
	}, pipelineBound, 1},
	{"daemons and store", func(fleet *fleet, _ []*fault.Proxy) {
		for _, daemon := range fleet.daemons {
			_ = daemon.store.SetMode(fault.Silent)
		}
	}, pipelineBound, 1},
}

// silentPeers is apart because it has failed for a cause of its own: calls that went on using a silent connection.
var silentPeers = silentLink{"daemon and daemons", func(fleet *fleet, _ []*fault.Proxy) {
	for _, to := range fleet.daemons {
		for _, from := range fleet.daemons {
			_ = to.board.link(from.name).SetMode(fault.Silent)
		}
	}
}, pipelineBound, 1}

// TestSilentConnections guards against requests that hang when the open connections of one kind of link go silent, and
// against new requests that suffer from it.
func TestSilentConnections(t *testing.T) {
	for _, link := range silentLinks {
		t.Run(link.name, func(t *testing.T) { link.test(t) })
	}
}

// TestSilentPeers guards against the same on the links between daemons, where the grants pass.
func TestSilentPeers(t *testing.T) { silentPeers.test(t) }

func (link silentLink) test(t *testing.T) {
	t.Parallel()
	var targets []*fault.Proxy
	options := world.Options{Wrap: func(_, _, address string) string {
		proxy, err := fault.Listen("127.0.0.1:0", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(proxy.Close)
		targets = append(targets, proxy)
		return proxy.Address()
	}}
	fleet := startLinkedFleet(t, 3, options)
	client := fleet.plainClient(fleet.daemons...)
	client.Attempts = link.attempts
	load := startLoad(client, 30*time.Millisecond, lookup)
	time.Sleep(2 * time.Second)
	link.silence(fleet, targets)
	began := time.Now()
	// A new caller has no connection that can have gone silent.
	_, err := fleet.plainClient(fleet.daemons[1]).Do(t.Context(), lookup(1_000_000), func(caller.Event) {})
	if took := time.Since(began); err != nil || took > pipelineBound {
		t.Errorf("new request took %v: %v", took, err)
	} else {
		t.Logf("new request took %v", took)
	}
	time.Sleep(pipelineBound - time.Since(began))
	settled := startLoad(fleet.plainClient(fleet.daemons...), 30*time.Millisecond, lookup)
	time.Sleep(2 * time.Second)
	inFlight := load.stop()
	count, first := failures(inFlight)
	t.Logf("%d of %d requests in flight and after failed%s", count, len(inFlight), first)
	for _, result := range inFlight {
		if result.took > link.bound {
			t.Errorf("%s took %v, bound %v: %v", result.question, result.took, link.bound, result.err)
		}
	}
	results := settled.stop()
	count, first = failures(results)
	for _, result := range results {
		if result.took > atOnceBound {
			count++
			first += fmt.Sprintf("\n  %s took %v", result.question, result.took)
		}
	}
	if count > 0 {
		t.Errorf("%d of %d requests failed or were slow %v after the silence:%s", count, len(results), pipelineBound, first)
	}
}
