package edge

import (
	"net/http"
	"time"

	"catkincove/core"
	"catkincove/core/limit"
)

// limitEvidence is a response of a target, by which it names a limit or none.
type limitEvidence struct {
	target    string
	startedAt time.Time // start of the target's run
	sentAt    time.Time // time before the request was sent
	status    int
	facts     core.TargetResponse
}

// observeLimit records whether a response of a target names a limit.
func (daemon *Daemon) observeLimit(response limitEvidence) {
	if response.status == http.StatusMisdirectedRequest {
		return // another target at the address has responded
	}
	evidence := limit.Evidence{Target: response.target, StartedAt: response.startedAt, Named: response.facts.Limited, Rate: response.facts.RateLimit, At: response.sentAt}
	if evidence.Named {
		evidence.At = daemon.clock.Now()
	}
	daemon.loop.Post(func() { daemon.mergeLimit(evidence, string(daemon.id)) })
}

// mergeLimit merges evidence that a daemon has seen; it must run on the loop.
func (daemon *Daemon) mergeLimit(evidence limit.Evidence, seenBy string) {
	if !daemon.control.limits.Observe(evidence) {
		return
	}
	event := daemon.log.Info().Str("Target", evidence.Target).Str("SeenBy", seenBy).Dur("Age", daemon.clock.Now().Sub(evidence.At))
	if evidence.Named {
		event.Str(eventField, eventLimitNamed).Float64("Rate", evidence.Rate).Msg("the target limits the requests of all daemons together")
		return
	}
	event.Str(eventField, eventLimitLifted).Msg("the target no longer limits the requests")
}
