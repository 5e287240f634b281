package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"catkincove/core"
	"catkincove/core/blame"
)

const (
	recordInterval = time.Second      // period of the comparison of the quarantined parts with their records
	recordTTL      = 10 * time.Minute // TTL of a record; the store allows no longer lease
	maxLoggedParts = 16               // quarantined parts whose crashes are logged
)

// checkQuarantine returns an error if the request or a part of its prompt has crashed too many targets; it must run on the loop.
//
// The daemon that places the prompts of the service sends one request with a quarantined part after its quarantine, and earlier if another part explains the
// crashes as well.
func (daemon *Daemon) checkQuarantine(now time.Time, request *request) error {
	guilty, quarantined := daemon.control.crashTracker.Quarantined(now, request.suspects)
	if !quarantined || request.suspects.Probe {
		return nil
	}
	if guilty == request.suspects.Content {
		return core.Errorf(core.Poison, "the request has crashed targets before")
	}
	crashTracker := &daemon.control.crashTracker
	if daemon.senderOf(daemon.chooseService(request).Name) == nil && (crashTracker.Test(now, request.suspects) || crashTracker.Probe(now, guilty)) {
		request.suspects.Probe = true
		daemon.log.Info().Str(eventField, eventQuarantineProbed).Str("Request", request.logID()).Str("Part", guilty.String()).Strs("Parts", request.loggedParts()).
			Msg("the request is sent to find out whether its quarantined parts are sound")
		return nil
	}
	id := ""
	for _, part := range request.sharedParts() {
		if partFingerprint(part) == guilty {
			id = part
		}
	}
	return core.Errorf(core.Poison, "part %s of the prompt has crashed targets before", id)
}

// recordQuarantines keeps a record in the store for each quarantined part of a prompt until ctx ends, so that the quarantine
// outlasts a loss of all daemons. One daemon of the fleet writes the records.
func (daemon *Daemon) recordQuarantines(ctx context.Context) error {
	leases := map[core.Fingerprint]core.LeaseID{} // of the records of this daemon
	logged := map[core.Fingerprint]bool{}
	var epoch int64
	for core.Sleep(ctx, daemon.clock, recordInterval) {
		if current := daemon.storeEpoch(); current != epoch {
			clear(leases) // a store that was restored has lost the records
			epoch = current
		}
		var quarantined, parts map[core.Fingerprint][]blame.Crash
		daemon.do(func() {
			quarantined = daemon.control.crashTracker.QuarantinedParts(daemon.clock.Now())
			if daemon.senderOf(core.CrashPrefix) == nil {
				parts = quarantined
			}
		})
		daemon.logQuarantines(logged, quarantined)
		for part, crashes := range parts {
			if leases[part] != 0 {
				continue
			}
			if lease, err := daemon.recordQuarantine(ctx, part, crashes); err != nil {
				daemon.metrics.storeErrors.Add(1) // tried again in the next period
			} else {
				leases[part] = lease
			}
		}
		for _, part := range slices.Collect(maps.Keys(leases)) {
			if _, quarantined := parts[part]; parts != nil && !quarantined {
				if err := daemon.store.RevokeLease(ctx, leases[part]); err == nil {
					delete(leases, part)
				}
			}
		}
	}
	return ctx.Err()
}

// logQuarantines logs which parts are quarantined since the last period and for which crashes, and which are not any more.
func (daemon *Daemon) logQuarantines(logged map[core.Fingerprint]bool, quarantined map[core.Fingerprint][]blame.Crash) {
	for part := range logged {
		if _, found := quarantined[part]; !found {
			delete(logged, part)
			daemon.log.Info().Str(eventField, eventQuarantineEnded).Str("Part", part.String()).Msg("the quarantine of a part of prompts has ended")
		}
	}
	for part, crashes := range quarantined {
		if logged[part] || len(logged) >= maxLoggedParts {
			continue
		}
		logged[part] = true
		runs := make([]string, len(crashes))
		for i, crash := range crashes {
			with := make([]string, len(crash.With))
			for j, other := range crash.With {
				with[j] = other.String()
			}
			runs[i] = fmt.Sprintf("%s, %v ago, with %s", crash.Target, crash.Age.Round(time.Millisecond), strings.Join(with, " "))
		}
		slices.Sort(runs)
		daemon.log.Info().Str(eventField, eventQuarantineBegan).Str("Part", part.String()).Strs("Crashes", runs).Msg("prompts with the part are rejected")
	}
}

func (daemon *Daemon) recordQuarantine(ctx context.Context, part core.Fingerprint, crashes []blame.Crash) (core.LeaseID, error) {
	value, err := json.Marshal(crashes)
	if err != nil {
		return 0, err
	}
	lease, err := daemon.store.GrantLease(ctx, recordTTL)
	if err != nil {
		return 0, err
	}
	put := core.Put{Key: core.CrashPrefix + part.String(), Value: value, Lease: lease}
	_, err = daemon.store.Commit(ctx, core.Txn{Puts: []core.Put{put}})
	if err != nil {
		return 0, err
	}
	daemon.log.Info().Str(eventField, eventQuarantineRecorded).Str("Part", part.String()).Int("Crashes", len(crashes)).Msg("a part of prompts is quarantined")
	return lease, nil
}

// adoptQuarantines adds the crashes of the records in a listing of all keys, as if they had been seen shortly before it; it must
// run on the loop. A daemon that runs hears of crashes from the others.
func (daemon *Daemon) adoptQuarantines(now time.Time, snapshot core.Snapshot) {
	for _, entry := range withPrefix(core.CrashPrefix, snapshot.Entries) {
		var crashes []blame.Crash
		if err := json.Unmarshal(entry.Value, &crashes); err != nil {
			daemon.log.Warn().Str(eventField, eventQuarantineIgnored).Str("Key", entry.Key).Err(err).Msg("cannot decode the record of a quarantine; ignoring it")
			continue
		}
		daemon.mergeCrashes(now, crashes)
	}
}

// mergeCrashes adds crashes that other daemons have seen; it must run on the loop.
func (daemon *Daemon) mergeCrashes(now time.Time, crashes []blame.Crash) {
	for _, crash := range crashes {
		if len(crash.With) <= maxSuspectParts {
			daemon.control.crashTracker.Add(now, crash)
		}
	}
}
