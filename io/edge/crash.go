package edge

import (
	"fmt"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"catkincove/core"
	"catkincove/core/blame"
	"catkincove/io/lines"
)

const (
	maxSuspectParts = 64          // parts of a prompt that can be suspects
	crashWindow     = time.Second // time after its first event in which a response may crash its target by its prompt
)

// sharedParts returns the IDs of the parts of the prompt that other requests can share, which are all but the last.
func (request *request) sharedParts() []string {
	var ids []string
	for i, part := range request.caller.Prompt {
		if i < len(request.caller.Prompt)-1 {
			ids = append(ids, part.ID)
		}
	}
	return ids
}

// loggedParts returns the shared parts that can be suspects, as logs show them.
func (request *request) loggedParts() []string {
	shared := request.sharedParts()
	var ids []string
	for _, id := range shared[:min(len(shared), maxSuspectParts)] {
		ids = append(ids, lines.Short(id))
	}
	return ids
}

func partFingerprint(id string) core.Fingerprint {
	return core.Fingerprint(xxhash.Sum64String("part\x00" + id))
}

// recordCrash records that the target may have crashed while it ran the request.
func (relay *relay) recordCrash() {
	daemon, request, target := relay.daemon, relay.request, relay.attempt.target
	suspects := request.suspects
	now := daemon.clock.Now()
	if relay.firstEventLatency > 0 && now.Sub(relay.attempt.startedAt.Add(relay.firstEventLatency)) > crashWindow {
		suspects.Parts = nil // the target had begun the response long before
	}
	run := runOf(target.ID, target.StartedAt)
	daemon.whenPathsAreClear("crash", func(clear bool) {
		if clear {
			daemon.loop.Post(func() { daemon.control.crashTracker.Record(now, suspects, run) })
			relay.logCrash(suspects)
		}
	})
}

// runOf identifies one run of a target.
func runOf(id string, startedAt time.Time) string {
	return fmt.Sprintf("%s/%s", id, strconv.FormatInt(startedAt.UnixMilli(), 36))
}

func (relay *relay) logCrash(suspects blame.Request) {
	request, target := relay.request, relay.attempt.target
	fingerprints := make([]string, len(suspects.Parts))
	for i, part := range suspects.Parts {
		fingerprints[i] = part.String()
	}
	relay.daemon.log.Info().Str(eventField, eventCrashRecorded).Str("Request", request.logID()).Str("Target", target.ID).
		Str("TargetRun", runOf(target.ID, target.StartedAt)).Strs("Suspects", fingerprints).Str("Content", suspects.Content.String()).Strs("Parts", request.loggedParts()).Bool("PartsSuspected", suspects.Parts != nil).
		Msg("the target disconnected and may have crashed under the request")
}

// clearCrashes exonerates the content and the prompt of a request that has run to its end. A target that crashes also ends a response without a length or
// chunks, so that one counts once the target has responded to a later request.
func (relay *relay) clearCrashes() {
	daemon, suspects, target := relay.daemon, relay.request.suspects, relay.attempt.target
	daemon.loop.Post(func() {
		now := daemon.clock.Now()
		switch {
		case relay.delimited:
			daemon.control.crashTracker.Exonerate(now, suspects)
		case relay.attempt.through == nil:
			daemon.control.crashTracker.AddEnding(now, suspects, runOf(target.ID, target.StartedAt))
		}
	})
}
