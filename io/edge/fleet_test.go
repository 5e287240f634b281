package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"time"

	"catkincove/core"
	"catkincove/io/inifmt"
	plat "catkincove/platform"
)

// Size of the largest deployment in use.
const (
	fleetDaemons     = 295
	fleetLargeVMs    = 15
	fleetTargets     = 286
	fleetDataCentres = 5
)

var fleetServices = []string{"model", "ledger", "stock", "billing", "freight"}

var errNoNetwork = errors.New("this daemon has no network")

// noNetwork fails all calls to other daemons: the addresses of the fleet, and those in messages that are made up, may exist.
type noNetwork struct{}

// RoundTrip returns an error.
func (noNetwork) RoundTrip(*http.Request) (*http.Response, error) { return nil, errNoNetwork }

// newFleetMember returns a daemon on a small VM that knows a whole fleet and follows a relay; its control loop runs until
// the test ends.
func newFleetMember(t testing.TB) *Daemon {
	return newFleetMemberWith(t, noNetwork{}, core.SystemClock{})
}

// newFleetMemberWith is newFleetMember with another network to the other daemons and another clock.
func newFleetMemberWith(t testing.TB, peers http.RoundTripper, clock core.Clock) *Daemon {
	daemon := New(Options{
		Settings: inifmt.EdgeSettings{Name: "self", DataCentre: "dc-1", AdvertiseFront: "10.1.0.1:80", AdvertisePeer: "10.1.0.1:81", Cores: 0.192, MemoryMB: 184},
		Dialect:  plainDialect{}, Clock: clock,
	})
	daemon.targets.Dial = func(context.Context, string) (*net.TCPConn, error) { return nil, errNoNetwork }
	daemon.peers.Transport = peers
	go func() { _ = daemon.loop.Run(daemon.loopContext) }()
	t.Cleanup(daemon.stopLoop)
	daemon.do(func() {
		now := daemon.clock.Now()
		daemon.control.routes.Replace(now, core.Snapshot{Revision: 1, Entries: []core.Entry{{Key: daemon.dialect.RoutingPrefix() + "config", Value: fleetRouting(), ModRevision: 1}}})
		var registrations, members []core.Entry
		for i := range fleetTargets {
			id := fmt.Sprint("i-", i)
			value, _ := json.Marshal(core.TargetEntry{
				ID: id, Service: fleetServices[i%len(fleetServices)], Address: fmt.Sprintf("10.9.%d.%d:80", i/200, i%200),
				DataCentre: fmt.Sprint("dc-", i%fleetDataCentres), Slots: 8, StartedAt: time.UnixMilli(1), Sequence: 1,
			})
			registrations = append(registrations, core.Entry{Key: daemon.dialect.TargetPrefix() + id, Value: value, ModRevision: 1})
		}
		for i := range fleetDaemons - 1 {
			value, _ := json.Marshal(fleetRecord(i))
			members = append(members, core.Entry{Key: core.MemberPrefix + string(fleetRecord(i).ID), Value: value, ModRevision: 1, CreateRevision: 1})
		}
		daemon.control.registrations.Replace(now, core.Snapshot{Revision: 1, Entries: registrations})
		daemon.control.live.Replace(now, core.Snapshot{Revision: 1, Entries: members})
		daemon.rebuildView()
		for _, known := range daemon.control.peers {
			known.lastSeen = now
		}
		daemon.control.peerLastSeen = now
	})
	return daemon
}

func fleetRecord(i int) record {
	cores := 0.192
	if i < fleetLargeVMs {
		cores = 0.8
	}
	return record{
		ID: core.MemberID(fmt.Sprintf("edge-%d-00000000", i)), Front: fmt.Sprintf("10.2.%d.%d:80", i/200, i%200), Peer: fmt.Sprintf("10.2.%d.%d:81", i/200, i%200),
		DataCentre: fmt.Sprintf("dc-%d", i%fleetDataCentres), Cores: cores,
	}
}

func fleetRouting() []byte {
	options := core.RoutingOptions{Version: 1, Routes: []core.Route{{Name: "r", Host: "h", Prefix: "/", Services: []core.ServiceShare{{Service: "model", Weight: 1}}}}}
	for _, service := range fleetServices {
		spec := core.ServiceSpec{Name: service, MaxConnections: 100}
		switch service {
		case "model":
			spec.Engine = &core.EngineSpec{Slots: 8, MemoryTokens: 100_000}
		case "stock":
			spec.Batch = &core.BatchSpec{MaxPieces: 8, MaxCalls: 2, CallOverhead: 40 * time.Millisecond, PieceTime: 2 * time.Millisecond, MaxResultBytes: 18 << 20, ResultTTL: 4 * time.Second}
		}
		options.Services = append(options.Services, spec)
	}
	value, _ := json.Marshal(options)
	return value
}

// plainDialect is a dialect whose stored values are the types of core as JSON.
type plainDialect struct{ plat.Dialect }

func (plainDialect) DecodeTarget(_ string, value []byte) (core.TargetEntry, error) {
	var target core.TargetEntry
	err := json.Unmarshal(value, &target)
	return target, err
}

func (plainDialect) DecodeRouting(_ string, value []byte) (core.Routing, bool, error) {
	var options core.RoutingOptions
	err := json.Unmarshal(value, &options)
	return core.NewRouting(options), true, err
}

// fleetStatus returns what another daemon of the fleet says in a ping.
func fleetStatus(random *rand.Rand) peerStatus {
	status := peerStatus{Record: fleetRecord(random.IntN(fleetDaemons - 1))}
	for range maxGossip {
		status.Heard = append(status.Heard, gossipEntry{Peer: fleetRecord(random.IntN(fleetDaemons - 1)).Peer, Age: time.Second})
	}
	return status
}

// BenchmarkFleetMember measures what a daemon of a large fleet does again and again without any request.
func BenchmarkFleetMember(b *testing.B) {
	daemon := newFleetMember(b)
	random := rand.New(rand.NewPCG(1, 2))
	status := fleetStatus(random)
	encoded, err := json.Marshal(status)
	if err != nil {
		b.Fatal(err)
	}
	for _, step := range []struct {
		name string
		run  func()
	}{
		{"PeersToPing", func() { daemon.peersToPing(1) }},
		{"Sender", func() { daemon.senderOf("stock") }},
		{"Relay", func() { daemon.relayCandidates() }},
		{"RebuildView", func() { daemon.rebuildView() }},
		{"Directory", func() { daemon.frontAddresses("10.7.0.1") }},
		{"NewStatus", func() { daemon.newStatus(daemon.clock.Now()) }},
		{"EncodeStatus", func() { _, _ = json.Marshal(status) }},
		{"DecodeStatus", func() {
			var decoded peerStatus
			_ = json.Unmarshal(encoded, &decoded)
		}},
		{"MergeStatus", func() { daemon.mergeStatus(status) }},
		{"CopiesWithoutChange", func() {
			for _, copy := range daemon.copies() {
				copy.Since(copy.Revision())
			}
		}},
	} {
		b.Run(step.name, func(b *testing.B) {
			b.ReportAllocs()
			daemon.do(func() {
				for b.Loop() {
					step.run()
				}
			})
		})
	}
}

// TestLargePeers guards against small VMs that send for a whole fleet while a large one is usable, and against a fleet
// without senders while none is.
func TestLargePeers(t *testing.T) {
	large := func(known *peer) bool { return known.Cores > 0.5 }
	for _, test := range []struct {
		name       string
		change     func(now time.Time, known *peer)
		dataCentre string
		count      int
		cores      float64
	}{
		{"all usable", func(time.Time, *peer) {}, "", fleetLargeVMs, 0.8},
		{"one data centre", func(time.Time, *peer) {}, "dc-1", fleetLargeVMs / fleetDataCentres, 0.8},
		{"other data centre", func(time.Time, *peer) {}, "dc-2", fleetLargeVMs / fleetDataCentres, 0.8},
		{"large ones leave", func(_ time.Time, known *peer) { known.leaving = large(known) }, "", fleetDaemons - fleetLargeVMs, 0.192},
		{"large ones failed", func(_ time.Time, known *peer) { known.callFailed = large(known) }, "", fleetDaemons - fleetLargeVMs, 0.192},
		{"large ones do not respond", func(now time.Time, known *peer) {
			if large(known) {
				known.unansweredSince = now.Add(-time.Minute)
			}
		}, "", fleetDaemons - fleetLargeVMs, 0.192},
		{"one large one is left", func(_ time.Time, known *peer) { known.leaving = large(known) && known.ID != fleetRecord(3).ID }, "", 1, 0.8},
		{"all others failed", func(_ time.Time, known *peer) { known.callFailed = true }, "", 1, 0.192},
	} {
		t.Run(test.name, func(t *testing.T) {
			daemon := newFleetMember(t)
			daemon.do(func() {
				now := daemon.clock.Now()
				for _, known := range daemon.control.peers {
					test.change(now, known)
				}
				found := daemon.largePeers(now, test.dataCentre)
				if len(found) != test.count {
					t.Errorf("%d daemons, want %d", len(found), test.count)
				}
				for _, known := range found {
					if known.Cores != test.cores || test.dataCentre != "" && known.DataCentre != test.dataCentre {
						t.Errorf("%s has %v cores and is in %s", known.ID, known.Cores, known.DataCentre)
					}
				}
			})
		})
	}
}

// TestSenderKeepsItsRole guards against a sender that is replaced because a daemon that ranks higher has joined, and against
// two daemons that choose different senders.
func TestSenderKeepsItsRole(t *testing.T) {
	first, second := newFleetMember(t), newFleetMember(t)
	choose := func(daemon *Daemon, service string, current *record) string {
		var chosen string
		daemon.do(func() {
			for _, known := range daemon.control.peers {
				known.sendsFor = map[string]bool{service: current != nil && known.ID == current.ID}
			}
			chosen = daemon.senderOf(service).Peer
		})
		return chosen
	}
	for _, service := range fleetServices {
		if a, b := choose(first, service, nil), choose(second, service, nil); a != b {
			t.Errorf("senders of %s are %s and %s", service, a, b)
		}
		for i := range fleetLargeVMs {
			current := fleetRecord(i)
			if chosen := choose(first, service, &current); chosen != current.Peer {
				t.Errorf("sender of %s is %s, the current one is %s", service, chosen, current.Peer)
			}
		}
	}
}
