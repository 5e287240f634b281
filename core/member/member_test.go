package member

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"catkincove/core"
)

var start = time.Unix(1_800_000_000, 0)

func entryOf(record Record) core.Entry { return core.Entry{Key: record.Key(), Value: record.Encode()} }

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// TestRecord guards against a stored form that other daemons cannot decode, and against invalid records that are accepted.
func TestRecord(t *testing.T) {
	record := Record{ID: "a", Address: "10.0.0.1:80", DataCentre: "x", Leaving: true}
	const want = `{"ID":"a","Address":"10.0.0.1:80","DataCentre":"x","Leaving":true}`
	if content := string(record.Encode()); content != want {
		t.Fatalf("encoded as %s", content)
	}
	if decoded, err := Decode(entryOf(record)); err != nil || decoded != record {
		t.Fatalf("decoded as %+v, %v", decoded, err)
	}
	for _, entry := range []core.Entry{
		{Key: core.MemberPrefix + "b", Value: record.Encode()},
		{Key: record.Key(), Value: []byte("{")},
		{Key: core.MemberPrefix, Value: []byte("{}")},
	} {
		if _, err := Decode(entry); err == nil {
			t.Errorf("decoded invalid entry %q = %q", entry.Key, entry.Value)
		}
	}
}

// TestRetention guards against daemons that are dropped in a store outage, and against dead daemons that are kept forever.
func TestRetention(t *testing.T) {
	heartbeat := func(seconds float64) func(*View) {
		return func(view *View) { view.ObserveHeartbeat(at(seconds), core.Heartbeat{From: "b"}) }
	}
	remove := func(seconds float64) func(*View) {
		return func(view *View) { view.ObserveRecords(at(seconds), nil) }
	}
	setOutage := func(seconds float64, outage bool) func(*View) {
		return func(view *View) { view.SetOutage(at(seconds), outage) }
	}
	tests := []struct {
		name  string
		steps []func(*View)
		now   float64
		live  bool
	}{
		{"stored", nil, 100, true},
		{"removed and unresponsive", []func(*View){heartbeat(0), remove(3)}, 3, false},
		{"removed with heartbeats", []func(*View){heartbeat(2), remove(3), heartbeat(11.5)}, 12.5, true},
		{"removed for 10 s with heartbeats", []func(*View){heartbeat(2), remove(3), heartbeat(12.5)}, 13, false},
		{"removed in an outage", []func(*View){setOutage(1, true), remove(3)}, 100, true},
		{"after an outage", []func(*View){setOutage(1, true), remove(3), heartbeat(99), setOutage(100, false), heartbeat(108.5)}, 109.5, true},
		{"unresponsive after an outage", []func(*View){setOutage(1, true), remove(3), setOutage(100, false)}, 100.1, false},
	}
	for _, test := range tests {
		view := &View{Self: Record{ID: "a"}}
		view.ObserveRecords(start, []core.Entry{entryOf(Record{ID: "b"})})
		for _, step := range test.steps {
			step(view)
		}
		if live := slices.Contains(view.Live(at(test.now)), core.MemberID("b")); live != test.live {
			t.Errorf("%s: live %v", test.name, live)
		}
	}
}

func fleet(count int) *View {
	view := &View{Self: Record{ID: "d0", Address: "d0", DataCentre: "x"}}
	var entries []core.Entry
	for i := range count {
		name := fmt.Sprintf("d%d", i)
		record := Record{ID: core.MemberID(name), Address: name, DataCentre: []string{"x", "y"}[i%2]}
		entries = append(entries, entryOf(record))
	}
	view.ObserveRecords(start, entries)
	return view
}

// TestAddresses guards against callers that are sent to leaving or remote daemons, or all to the same one.
func TestAddresses(t *testing.T) {
	view := fleet(8)
	view.ObserveHeartbeat(start, core.Heartbeat{From: "d3", Leaving: true})
	first := make(map[string]int)
	for hash := range uint64(400) {
		addresses := view.Addresses(start, hash, "y", 4)
		local := slices.Clone(addresses[:3])
		slices.Sort(local)
		if len(addresses) != 4 || !reflect.DeepEqual(local, []string{"d1", "d5", "d7"}) {
			t.Fatalf("caller %d gets %v", hash, addresses)
		}
		first[addresses[0]]++
	}
	for address, count := range first {
		if count < 80 {
			t.Errorf("%s is first for %d of 400 callers", address, count)
		}
	}
	if !view.Leaving("d3") || slices.Contains(view.RankOwners(start, core.PoolID{Service: "s", DataCentre: "x"}), "d3") {
		t.Error("a leaving daemon is ranked as an owner")
	}
}

// TestRendezvous guards against pools that change their preferred owner although it stays in the fleet.
func TestRendezvous(t *testing.T) {
	before := fleet(8).Live(start)
	after := slices.DeleteFunc(slices.Clone(before), func(id core.MemberID) bool { return id == "d5" })
	for i := range 200 {
		pool := core.PoolID{Service: fmt.Sprint(i), DataCentre: "x"}
		ownerBefore, ownerAfter := PreferredOwner(before, pool), PreferredOwner(after, pool)
		if ownerBefore != ownerAfter && ownerBefore != "d5" || ownerAfter != RankOwners(after, pool)[0] {
			t.Fatalf("pool %s moves from %s to %s", pool, ownerBefore, ownerAfter)
		}
	}
}

// TestHeartbeatPeers guards against a full mesh in large fleets and peers that are never chosen.
func TestHeartbeatPeers(t *testing.T) {
	for _, test := range []struct{ members, peers int }{{1, 0}, {2, 1}, {9, 8}, {10, 4}} {
		seen := make(map[core.MemberID]bool)
		view := fleet(test.members)
		for seed := range uint64(100) {
			peers := view.HeartbeatPeers(start, seed)
			if len(peers) != test.peers {
				t.Fatalf("%d of %d members get a heartbeat", len(peers), test.members)
			}
			for _, peer := range peers {
				seen[peer.ID] = true
			}
		}
		if len(seen) != test.members-1 || seen["d0"] {
			t.Errorf("%d of %d members ever chosen", len(seen), test.members)
		}
	}
}

// TestReplaced guards against terminated daemons that still count for quorums although another daemon runs at their address.
func TestReplaced(t *testing.T) {
	record := func(id core.MemberID, address string) core.Entry { return entryOf(Record{ID: id, Address: address}) }
	view := &View{Self: Record{ID: "a", Address: "1"}}
	view.ObserveRecords(start, []core.Entry{record("b", "2"), record("c", "3")})
	view.ObserveRecords(at(5), nil)
	if replaced := view.TakeReplaced(); replaced != nil {
		t.Fatalf("%v count as replaced although they were only removed from the store", replaced)
	}
	view.ObserveRecords(at(6), []core.Entry{record("d", "2")})
	if replaced := view.TakeReplaced(); !reflect.DeepEqual(replaced, []core.MemberID{"b"}) {
		t.Fatalf("%v count as replaced", replaced)
	}
}

// TestOwnerCandidates guards against a preferred owner that cannot claim: pools wait for a daemon that is leaving, or whose
// record has expired with its lease while its heartbeats go on.
func TestOwnerCandidates(t *testing.T) {
	view := &View{Self: Record{ID: "a"}}
	stored := []core.Entry{entryOf(Record{ID: "b"}), entryOf(Record{ID: "c"}), entryOf(Record{ID: "d"})}
	view.ObserveRecords(start, stored)
	view.ObserveHeartbeat(at(2), core.Heartbeat{From: "b"})
	view.ObserveHeartbeat(at(2), core.Heartbeat{From: "c", Leaving: true})
	view.ObserveRecords(at(3), stored[1:])
	if candidates := view.OwnerCandidates(at(3)); !reflect.DeepEqual(candidates, []core.MemberID{"a", "d"}) {
		t.Errorf("candidates %v although only a and d can claim", candidates)
	}
	if live := view.Live(at(3)); !reflect.DeepEqual(live, []core.MemberID{"a", "b", "c", "d"}) {
		t.Errorf("live daemons %v although all send heartbeats", live)
	}
	view.ObserveRecords(at(4), stored[:1])
	if candidates := view.OwnerCandidates(at(4)); !reflect.DeepEqual(candidates, []core.MemberID{"a", "b"}) {
		t.Errorf("candidates %v after b has registered again and d has lost its record", candidates)
	}
}
