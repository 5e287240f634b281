package edge

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
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

// newFleetMember returns a daemon on a small VM that knows a whole fleet and follows a relay; its control loop runs until
// the test ends.
func newFleetMember(t testing.TB) *Daemon {
	daemon := New(Options{
		Settings: inifmt.EdgeSettings{Name: "self", DataCentre: "dc-1", AdvertiseFront: "10.1.0.1:80", AdvertisePeer: "10.1.0.1:81", Cores: 0.192, MemoryMB: 184},
		Dialect:  plat.Dialect{}, Clock: core.SystemClock{},
	})
	go func() { _ = daemon.loop.Run(daemon.loopContext) }()
	t.Cleanup(daemon.stopLoop)
	daemon.do(func() {
		now := daemon.clock.Now()
		daemon.control.routes.Replace(now, core.Snapshot{Revision: 1, Entries: []core.Entry{{Key: "op/config", Value: fleetRouting(), ModRevision: 1}}})
		var registrations, members []core.Entry
		for i := range fleetTargets {
			value := fmt.Sprintf(`{"service":%q,"address":"10.9.%d.%d:80","zone":"dc-%d","version":"v1","slots":8,"phase":"ready","cold-left-ms":0,"sequence":1,"born":1}`,
				fleetServices[i%len(fleetServices)], i/200, i%200, i%fleetDataCentres)
			registrations = append(registrations, core.Entry{Key: fmt.Sprintf("servers/i-%d", i), Value: []byte(value), ModRevision: 1})
		}
		for i := range fleetDaemons - 1 {
			value, _ := json.Marshal(fleetRecord(i))
			members = append(members, core.Entry{Key: core.MemberPrefix + string(fleetRecord(i).ID), Value: value, ModRevision: 1, CreateRevision: 1})
		}
		daemon.control.registrations.Replace(now, core.Snapshot{Revision: 1, Entries: registrations})
		daemon.control.members.Replace(now, core.Snapshot{Revision: 1, Entries: members})
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
	var services []any
	for _, service := range fleetServices {
		services = append(services, map[string]any{"name": service, "max-conns": 100})
	}
	value, _ := json.Marshal(map[string]any{
		"version": 1, "services": services, "limits": map[string]any{"max-header-bytes": 1, "max-body-bytes": 2, "header-timeout-ms": 3, "idle-timeout-ms": 4},
		"routes": []any{map[string]any{"name": "r", "hostname": "h", "path-prefix": "/", "kind": "safe", "service": "model"}},
	})
	return value
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
		{"Relay", func() { daemon.relayCandidate() }},
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
