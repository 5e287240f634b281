package peer

import (
	"time"

	"catkincove/core"
	"catkincove/io/answer"
)

// The wire structs have no tags: their field names are the JSON keys. Durations are whole milliseconds unless the name
// ends in Us. Ages are rounded up and remaining times are rounded down, so that rounding never makes a store read look
// more recent or a grant valid for longer.

const neverHappened = -1 // age of an event that has not happened

type wireHeartbeat struct {
	From        string
	Address     string
	DataCentre  string
	Leaving     bool
	Settled     bool
	Revision    int64
	StoreAgeMs  int64
	OutageAgeMs int64
	Rows        []wireGossipEntry
	Suspects    []wireSuspect
	Members     int
}

type wireGossipEntry struct {
	Member      string
	Revision    int64
	HeardAgeMs  int64
	StoreAgeMs  int64
	OutageAgeMs int64
}

type wireSuspect struct {
	Fingerprint uint64
	State       int
	AgeMs       int64
}

type wireGrantRequest struct {
	Service     string
	DataCentre  string
	Request     string
	Stage       string
	Attempt     int
	Member      string
	Team        string
	Fingerprint uint64
	Prefix      []uint64
	TimeLeftMs  int64
	ReserveMs   int64
	Work        int
	Priority    int
	Revision    int64
	Queue       string
	Exclude     []string
	Announce    bool
	Suspect     bool
}

type wireGrant struct {
	ID        string
	Target    string
	Address   string
	UseInMs   int64
	HoldForMs int64
	Alone     bool
}

type wireGrantReply struct {
	Moved    bool
	Grant    *wireGrant
	Queue    string
	Refused  *answer.Error
	Revision int64
	Free     int
	Waiting  int
	WaitMs   int64
}

type wireRelease struct {
	Service      string
	DataCentre   string
	Grant        string
	Outcome      int
	FirstTokenUs int64
	TookUs       int64
	Start        string
	Tokens       int
	Unsent       bool
}

type wireConfigRequest struct {
	Since int64
}

type wireConfigReply struct {
	Revision int64
	Full     bool
	Objects  []wireEntry
	Live     []wireEntry
}

type wireEntry struct {
	Key            string
	Value          string
	CreateRevision int64
	ModRevision    int64
	Lease          int64
}

func ceilMs(duration time.Duration) int64 {
	if duration < 0 {
		return neverHappened
	}
	return int64((duration + time.Millisecond - 1) / time.Millisecond)
}

func floorMs(duration time.Duration) int64 {
	return max(0, duration.Milliseconds())
}

func fromMs(milliseconds int64) time.Duration {
	if milliseconds < 0 {
		return neverHappened
	}
	return time.Duration(milliseconds) * time.Millisecond
}

func encodeHeartbeat(heartbeat core.Heartbeat) wireHeartbeat {
	wire := wireHeartbeat{
		From:        string(heartbeat.From),
		Address:     heartbeat.Address,
		DataCentre:  heartbeat.DataCentre,
		Leaving:     heartbeat.Leaving,
		Settled:     heartbeat.HoldsLease,
		Members:     heartbeat.Members,
		Revision:    int64(heartbeat.Revision),
		StoreAgeMs:  ceilMs(heartbeat.StoreAge),
		OutageAgeMs: ceilMs(heartbeat.OutageAge),
	}
	for _, entry := range heartbeat.Gossip {
		wire.Rows = append(wire.Rows, wireGossipEntry{
			Member:      string(entry.Member),
			Revision:    int64(entry.Revision),
			HeardAgeMs:  ceilMs(entry.LastSeenAge),
			StoreAgeMs:  ceilMs(entry.StoreAge),
			OutageAgeMs: ceilMs(entry.OutageAge),
		})
	}
	for _, suspect := range heartbeat.Suspects {
		wire.Suspects = append(wire.Suspects, wireSuspect{
			Fingerprint: uint64(suspect.Fingerprint),
			State:       int(suspect.State),
			AgeMs:       ceilMs(suspect.Age),
		})
	}
	return wire
}

func decodeHeartbeat(wire wireHeartbeat) core.Heartbeat {
	heartbeat := core.Heartbeat{
		From:       core.MemberID(wire.From),
		Address:    wire.Address,
		DataCentre: wire.DataCentre,
		Leaving:    wire.Leaving,
		HoldsLease: wire.Settled,
		Members:    wire.Members,
		Revision:   core.Revision(wire.Revision),
		StoreAge:   fromMs(wire.StoreAgeMs),
		OutageAge:  fromMs(wire.OutageAgeMs),
	}
	for _, entry := range wire.Rows {
		heartbeat.Gossip = append(heartbeat.Gossip, core.GossipEntry{
			Member:      core.MemberID(entry.Member),
			Revision:    core.Revision(entry.Revision),
			LastSeenAge: fromMs(entry.HeardAgeMs),
			StoreAge:    fromMs(entry.StoreAgeMs),
			OutageAge:   fromMs(entry.OutageAgeMs),
		})
	}
	for _, suspect := range wire.Suspects {
		heartbeat.Suspects = append(heartbeat.Suspects, core.Suspect{
			Fingerprint: core.Fingerprint(suspect.Fingerprint),
			State:       core.SuspectState(suspect.State),
			Age:         fromMs(suspect.AgeMs),
		})
	}
	return heartbeat
}

func encodeGrantRequest(request core.GrantRequest) wireGrantRequest {
	wire := wireGrantRequest{
		Service:     request.Pool.Service,
		DataCentre:  request.Pool.DataCentre,
		Request:     string(request.Request),
		Stage:       request.Stage,
		Attempt:     request.Attempt,
		Member:      string(request.Member),
		Team:        string(request.Team),
		Fingerprint: uint64(request.Fingerprint),
		Prefix:      request.Prefix,
		TimeLeftMs:  floorMs(request.TimeLeft),
		ReserveMs:   ceilMs(request.ReservedTime),
		Work:        request.Work,
		Priority:    request.Priority,
		Revision:    int64(request.Revision),
		Queue:       string(request.QueueEntry),
		Announce:    request.Precheck,
		Suspect:     request.Suspect,
	}
	for _, target := range request.Exclude {
		wire.Exclude = append(wire.Exclude, string(target))
	}
	return wire
}

func decodeGrantRequest(wire wireGrantRequest) core.GrantRequest {
	request := core.GrantRequest{
		Pool:         core.PoolID{Service: wire.Service, DataCentre: wire.DataCentre},
		Request:      core.RequestID(wire.Request),
		Stage:        wire.Stage,
		Attempt:      wire.Attempt,
		Member:       core.MemberID(wire.Member),
		Team:         core.TeamName(wire.Team),
		Fingerprint:  core.Fingerprint(wire.Fingerprint),
		Prefix:       wire.Prefix,
		TimeLeft:     fromMs(wire.TimeLeftMs),
		ReservedTime: fromMs(wire.ReserveMs),
		Work:         wire.Work,
		Priority:     wire.Priority,
		Revision:     core.Revision(wire.Revision),
		QueueEntry:   core.GrantID(wire.Queue),
		Precheck:     wire.Announce,
		Suspect:      wire.Suspect,
	}
	for _, target := range wire.Exclude {
		request.Exclude = append(request.Exclude, core.TargetName(target))
	}
	return request
}

func encodeGrantReply(reply core.GrantReply) wireGrantReply {
	wire := wireGrantReply{
		Moved:    reply.NotOwner,
		Queue:    string(reply.QueueEntry),
		Refused:  answer.Encode(reply.Rejection),
		Revision: int64(reply.Revision),
		Free:     reply.Summary.Free,
		Waiting:  reply.Summary.Waiting,
		WaitMs:   ceilMs(reply.Summary.ExpectedWait),
	}
	if grant := reply.Grant; grant != nil {
		wire.Grant = &wireGrant{
			ID:        string(grant.ID),
			Target:    string(grant.Target),
			Address:   grant.Address,
			UseInMs:   floorMs(grant.SendWithin),
			HoldForMs: floorMs(grant.ExpiresAfter),
			Alone:     grant.Exclusive,
		}
	}
	return wire
}

func decodeGrantReply(wire wireGrantReply, pool core.PoolID) core.GrantReply {
	reply := core.GrantReply{
		NotOwner:   wire.Moved,
		QueueEntry: core.GrantID(wire.Queue),
		Rejection:  answer.Decode(wire.Refused),
		Revision:   core.Revision(wire.Revision),
		Summary:    core.PoolSummary{Free: wire.Free, Waiting: wire.Waiting, ExpectedWait: fromMs(wire.WaitMs)},
	}
	if grant := wire.Grant; grant != nil {
		reply.Grant = &core.Grant{
			ID:           core.GrantID(grant.ID),
			Pool:         pool,
			Target:       core.TargetName(grant.Target),
			Address:      grant.Address,
			SendWithin:   fromMs(grant.UseInMs),
			ExpiresAfter: fromMs(grant.HoldForMs),
			Exclusive:    grant.Alone,
		}
	}
	return reply
}

func encodeRelease(release core.Release) wireRelease {
	return wireRelease{
		Service:      release.Pool.Service,
		DataCentre:   release.Pool.DataCentre,
		Grant:        string(release.Grant),
		Outcome:      int(release.Outcome),
		FirstTokenUs: release.FirstToken.Microseconds(),
		TookUs:       release.Took.Microseconds(),
		Start:        release.StartID,
		Tokens:       release.Tokens,
		Unsent:       release.Unsent,
	}
}

func decodeRelease(wire wireRelease) core.Release {
	return core.Release{
		Pool:       core.PoolID{Service: wire.Service, DataCentre: wire.DataCentre},
		Grant:      core.GrantID(wire.Grant),
		Outcome:    core.Outcome(wire.Outcome),
		FirstToken: time.Duration(wire.FirstTokenUs) * time.Microsecond,
		Took:       time.Duration(wire.TookUs) * time.Microsecond,
		StartID:    wire.Start,
		Tokens:     wire.Tokens,
		Unsent:     wire.Unsent,
	}
}

func encodeConfigReply(reply core.ConfigReply) wireConfigReply {
	return wireConfigReply{
		Revision: int64(reply.Revision),
		Full:     reply.Full,
		Objects:  encodeEntries(reply.Objects),
		Live:     encodeEntries(reply.Live),
	}
}

func encodeEntries(entries []core.Entry) []wireEntry {
	wires := make([]wireEntry, 0, len(entries))
	for _, entry := range entries {
		wires = append(wires, wireEntry{
			Key:            entry.Key,
			Value:          string(entry.Value),
			CreateRevision: int64(entry.CreateRevision),
			ModRevision:    int64(entry.ModRevision),
			Lease:          int64(entry.Lease),
		})
	}
	return wires
}

func decodeConfigReply(wire wireConfigReply) core.ConfigReply {
	return core.ConfigReply{
		Revision: core.Revision(wire.Revision),
		Full:     wire.Full,
		Objects:  decodeEntries(wire.Objects),
		Live:     decodeEntries(wire.Live),
	}
}

func decodeEntries(wires []wireEntry) []core.Entry {
	entries := make([]core.Entry, 0, len(wires))
	for _, wire := range wires {
		entries = append(entries, core.Entry{
			Key:            wire.Key,
			Value:          []byte(wire.Value),
			CreateRevision: core.Revision(wire.CreateRevision),
			ModRevision:    core.Revision(wire.ModRevision),
			Lease:          core.LeaseID(wire.Lease),
		})
	}
	return entries
}
