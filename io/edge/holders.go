package edge

import (
	"context"
	"net/http"
	"sync"
	"time"

	"catkincove/core"
	"catkincove/core/origin"
)

// Other daemons keep copies of the records of origins: the store may be silent when a stream begins, or come back from a backup, and the daemon that
// began the stream may be killed in the same moment.
const (
	maxHolders          = 7                      // daemons that keep a copy of a record; half of all daemons may be killed at once, and 7 of them in one case of 128
	holderTimeout       = 300 * time.Millisecond // limit on a call to a holder, which responds from memory
	originTellInterval  = 20 * time.Millisecond  // interval of messages to holders; records that are queued meanwhile share one
	maxOriginsInMessage = 500                    // records in one message
)

// toldOrigin is what a daemon tells of a stream that it has begun.
type toldOrigin struct {
	Origin   origin.Origin
	Sequence int64 // orders what is told of an attempt, also by a daemon to which the request was passed on
}

// originsMessage tells a holder which versions began streams, by attempt.
type originsMessage struct {
	Origins map[string]toldOrigin
}

// originQuestion asks a holder which version began the stream of an attempt.
type originQuestion struct {
	Service string
	Attempt string
}

type originAnswer struct {
	Found           bool // Origin is known
	Told            bool // by the daemon that began the stream, and not by a record, which may be an earlier one
	Origin          origin.Origin
	Sequence        int64
	OneVersion      bool // all streams of the service that may be resumed began at its baseline
	SeveralVersions bool // targets of several versions serve, or the baseline changes
}

func (daemon *Daemon) serveOrigins(writer http.ResponseWriter, request *http.Request) {
	var message originsMessage
	if !readJSON(writer, request, &message) {
		return
	}
	if len(message.Origins) > maxOriginsInMessage {
		http.Error(writer, "too many records", http.StatusBadRequest)
		return
	}
	daemon.do(func() {
		expires := daemon.clock.Now().Add(daemon.originLifetime())
		for attempt, told := range message.Origins {
			if told.Origin.Known() && attempt == origin.ID(attempt) {
				daemon.control.origins.table.AddTold(attempt, told.Origin, expires, told.Sequence)
			}
		}
	})
	writeJSON(writer, struct{}{})
}

func (daemon *Daemon) serveOrigin(writer http.ResponseWriter, request *http.Request) {
	var question originQuestion
	if !readJSON(writer, request, &question) {
		return
	}
	daemon.awaitCheck(request.Context())
	var answer originAnswer
	daemon.do(func() {
		now, table := daemon.clock.Now(), &daemon.control.origins.table
		answer.Origin, answer.Found = table.Find(now, question.Attempt)
		answer.Sequence, answer.Told = table.Told(question.Attempt)
		answer.OneVersion, answer.SeveralVersions = daemon.hasOneVersion(now, question.Service), daemon.hasSeveralVersions(question.Service)
	})
	writeJSON(writer, answer)
}

// holdersOf returns the addresses of the daemons that keep the record of an attempt, by rendezvous hashing, so that those that live are among the first of
// all that live. A reader also counts daemons that it has not heard yet. It must run on the loop.
func (daemon *Daemon) holdersOf(now time.Time, attempt string, reading bool) []string {
	var holders []*peer
	for _, known := range daemon.sortedPeers() {
		if !known.lacksOrigins && (!daemon.isSuspect(now, known) || reading && known.lastSeen.IsZero() && !known.callFailed) {
			holders = append(holders, known)
		}
	}
	if len(holders) > maxHolders {
		holders = byPreference("origin "+attempt, holders)[:maxHolders]
	}
	var addresses []string
	for _, holder := range holders {
		addresses = append(addresses, holder.Peer)
	}
	return addresses
}

// tellOrigins tells holders the records that were queued, until ctx ends.
func (daemon *Daemon) tellOrigins(ctx context.Context) error {
	for {
		select {
		case <-daemon.control.origins.tellWake:
		case <-ctx.Done():
			return ctx.Err()
		}
		for daemon.tellOldest(ctx) && core.Sleep(ctx, daemon.clock, originTellInterval) {
		}
	}
}

// tellOldest begins to tell holders the oldest records that they are not told yet; it returns false if there is none.
func (daemon *Daemon) tellOldest(ctx context.Context) bool {
	var records []*originRecord
	messages := map[string]originsMessage{}
	recipients := map[string][]*originRecord{}
	daemon.do(func() {
		now, origins := daemon.clock.Now(), &daemon.control.origins
		count := min(len(origins.untold), maxOriginsInMessage)
		records, origins.untold = origins.untold[:count:count], origins.untold[count:]
		for _, record := range records {
			for _, address := range daemon.holdersOf(now, record.attempt, false) {
				if messages[address].Origins == nil {
					messages[address] = originsMessage{Origins: map[string]toldOrigin{}}
				}
				messages[address].Origins[record.attempt] = toldOrigin{Origin: record.origin, Sequence: record.sequence}
				recipients[address] = append(recipients[address], record)
			}
		}
	})
	daemon.spawn("origins", func() {
		defer func() {
			for _, record := range records {
				close(record.told)
			}
		}()
		var group sync.WaitGroup
		for address, message := range messages {
			group.Go(func() { daemon.tellHolder(ctx, address, message, recipients[address]) })
		}
		group.Wait()
	})
	return len(records) > 0
}

func (daemon *Daemon) tellHolder(ctx context.Context, address string, message originsMessage, records []*originRecord) {
	ctx, cancel := context.WithTimeout(ctx, holderTimeout)
	defer cancel()
	if err := daemon.callPeer(ctx, address, pathOrigins, message, &struct{}{}); err != nil {
		daemon.metrics.peerErrors.Add(1)
		return
	}
	daemon.do(func() {
		for _, record := range records {
			record.copies++
		}
	})
}

// kept is what the holders of a record know.
type kept struct {
	began      origin.Origin // zero if none knows it
	told       bool          // by the daemon that began the stream
	sequence   int64
	asked      int
	oneVersion int  // holders that know the service to have had one version
	several    bool // a holder knows several versions of the service
	silent     bool // a holder has not answered that is not suspect; a connection that fails has lost nothing, since the process has ended
}

// askHolders asks the holders of an attempt which version began its stream.
func (daemon *Daemon) askHolders(ctx context.Context, service, attempt string) kept {
	ctx, cancel := context.WithTimeout(ctx, holderTimeout)
	defer cancel()
	var addresses []string
	daemon.do(func() { addresses = daemon.holdersOf(daemon.clock.Now(), attempt, true) })
	kept := kept{asked: len(addresses)}
	var mutex sync.Mutex
	var group sync.WaitGroup
	for _, address := range addresses {
		group.Go(func() {
			var answer originAnswer
			err := daemon.callPeer(ctx, address, pathOrigin, originQuestion{Service: service, Attempt: attempt}, &answer)
			silent := err != nil && ctx.Err() != nil && !daemon.isSuspectAt(address)
			mutex.Lock()
			defer mutex.Unlock()
			kept.silent = kept.silent || silent
			if err == nil {
				kept.add(answer)
			}
		})
	}
	group.Wait()
	return kept
}

// add adds the answer of a holder. What the daemon that began the stream has told last goes before all else.
func (kept *kept) add(answer originAnswer) {
	kept.several = kept.several || answer.SeveralVersions
	if answer.OneVersion {
		kept.oneVersion++
	}
	if !answer.Found || !answer.Origin.Known() || kept.told && (!answer.Told || answer.Sequence < kept.sequence) {
		return
	}
	kept.began, kept.told, kept.sequence = answer.Origin, answer.Told, answer.Sequence
}

// isSuspectAt reports whether the daemon at an address is suspect or no longer known.
func (daemon *Daemon) isSuspectAt(address string) bool {
	suspect := true
	daemon.do(func() {
		if known := daemon.control.peers[address]; known != nil {
			suspect = daemon.isSuspect(daemon.clock.Now(), known)
		}
	})
	return suspect
}

// originsMayBeLost reports whether the store may lack a record of a stream that can still be resumed, since it was silent or restored while one may have
// begun, or this daemon does not know; it must run on the loop.
func (daemon *Daemon) originsMayBeLost(now time.Time) bool {
	return daemon.control.routes.Unavailable() || now.Before(daemon.control.origins.doubtUntil)
}

// doubtRecords notes that records may be missing in the store; it must run on the loop.
func (daemon *Daemon) doubtRecords(now time.Time) {
	daemon.control.origins.doubtUntil = now.Add(daemon.originLifetime())
}
