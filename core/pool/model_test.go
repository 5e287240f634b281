package pool

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"pgregory.net/rapid"

	"catkincove/core"
)

// model drives a Dispatcher through random events and checks its invariants after each.
type model struct {
	t           *rapid.T
	now         time.Time
	lastPoll    time.Time
	dispatcher  *Dispatcher
	requests    int
	waiting     map[core.GrantID]core.GrantRequest
	granted     map[core.GrantID]core.GrantRequest
	everGranted map[core.GrantID]bool
	starts      int
}

func newModel(t *rapid.T) *model {
	return &model{
		t: t, now: simStart, lastPoll: simStart, dispatcher: newPool(3, 2, 5),
		waiting: map[core.GrantID]core.GrantRequest{}, granted: map[core.GrantID]core.GrantRequest{},
		everGranted: map[core.GrantID]bool{}, starts: 1,
	}
}

func (model *model) run(steps int) {
	for range steps {
		model.now = model.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(model.t, "pause")) * time.Millisecond)
		if model.now.Sub(model.lastPoll) > time.Second {
			model.pollQueue()
		}
		actions := []func(){model.requestGrant, model.requestGrant, model.pollQueue, model.release, model.release,
			model.reportLoad, model.failLoadReport, func() { model.dispatcher.Tick(model.now) }}
		actions[rapid.IntRange(0, len(actions)-1).Draw(model.t, "action")]()
		model.dispatch()
		model.check()
	}
	// Close must reply to every request that is still queued.
	for _, assignment := range model.dispatcher.Close(model.now) {
		model.checkReply(model.waiting[assignment.QueueEntry], assignment.Reply, assignment.QueueEntry)
	}
	if len(model.waiting) > 0 {
		model.t.Fatalf("no reply to queue entries %v", model.waiting)
	}
}

func (model *model) requestGrant() {
	model.requests++
	request := core.GrantRequest{
		Request: core.RequestID(fmt.Sprint(model.requests)), TimeLeft: 3 * time.Second,
		Team:        core.TeamName(fmt.Sprint(rapid.IntRange(0, 2).Draw(model.t, "team"))),
		Fingerprint: core.Fingerprint(rapid.IntRange(1, 12).Draw(model.t, "content")),
		Work:        rapid.IntRange(0, 3).Draw(model.t, "work"),
		Priority:    rapid.IntRange(0, 1).Draw(model.t, "priority"),
	}
	model.checkReply(request, model.dispatcher.RequestGrant(model.now, request), "")
}

func (model *model) pollQueue() {
	model.lastPoll = model.now
	for _, queueEntry := range slices.Sorted(maps.Keys(model.waiting)) {
		request := model.waiting[queueEntry]
		request.QueueEntry = queueEntry
		model.checkReply(request, model.dispatcher.RequestGrant(model.now, request), queueEntry)
	}
}

// checkReply checks that a request got exactly one of the three replies and that no grant is assigned twice.
func (model *model) checkReply(request core.GrantRequest, reply core.GrantReply, queueEntry core.GrantID) {
	outcomes := 0
	for _, present := range []bool{reply.Grant != nil, reply.QueueEntry != "", reply.Rejection != nil} {
		if present {
			outcomes++
		}
	}
	if outcomes != 1 || request.Request == "" {
		model.t.Fatalf("request %+v got reply %+v", request, reply)
	}
	delete(model.waiting, queueEntry)
	switch {
	case reply.QueueEntry != "":
		model.waiting[reply.QueueEntry] = request
	case reply.Grant != nil && model.everGranted[reply.Grant.ID]:
		model.t.Fatalf("grant %s was assigned twice", reply.Grant.ID)
	case reply.Grant != nil:
		model.everGranted[reply.Grant.ID] = true
		model.granted[reply.Grant.ID] = request
	}
}

func (model *model) dispatch() {
	for _, assignment := range model.dispatcher.Dispatch(model.now) {
		model.checkReply(model.waiting[assignment.QueueEntry], assignment.Reply, assignment.QueueEntry)
	}
}

func (model *model) release() {
	grants := slices.Sorted(maps.Keys(model.granted))
	if len(grants) == 0 {
		return
	}
	grant := rapid.SampledFrom(grants).Draw(model.t, "grant")
	outcomes := []core.Outcome{core.OutcomeDone, core.OutcomeDone, core.OutcomeDisconnected, core.OutcomeTimedOut,
		core.OutcomeMismatched, core.OutcomeUnsent}
	outcome := rapid.SampledFrom(outcomes).Draw(model.t, "outcome")
	duration := time.Duration(rapid.IntRange(1, 100).Draw(model.t, "took")) * time.Millisecond
	delete(model.granted, grant)
	release := core.Release{Grant: grant, Outcome: outcome, Took: duration, FirstToken: duration}
	model.dispatcher.Release(model.now, release)
	model.dispatcher.Release(model.now, release) // a duplicate release must change nothing
}

func (model *model) drawTarget() core.TargetName {
	return core.TargetName(fmt.Sprintf("t%d", rapid.IntRange(0, 2).Draw(model.t, "target")))
}

func (model *model) reportLoad() {
	if rapid.IntRange(0, 9).Draw(model.t, "restart") == 0 {
		model.starts++
	}
	model.dispatcher.ApplyLoadReport(model.now, model.drawTarget(), core.LoadReport{
		StartID: fmt.Sprint(model.starts),
		Running: rapid.IntRange(0, 6).Draw(model.t, "running"),
		Age:     time.Duration(rapid.IntRange(0, 400).Draw(model.t, "age")) * time.Millisecond,
	})
}

func (model *model) failLoadReport() {
	model.dispatcher.LoadReportFailed(model.now, model.drawTarget())
}

// check recomputes the dispatcher's sums and checks limits, exclusive grants and queue entries.
func (model *model) check() {
	dispatcher := model.dispatcher
	free, running := 0, 0
	for _, target := range dispatcher.order {
		name, grants := target.declared.Name, len(target.grants)
		free += target.freeSlots
		running += grants
		slot := dispatcher.slots[target.slot]
		if slot.target != target || slot.cost != target.baseCost() || int(slot.free) != target.freeSlots {
			model.t.Fatalf("%s: slot %+v is out of date", name, slot)
		}
		for id, entry := range target.grants {
			if entry.exclusive && grants > 1 {
				model.t.Fatalf("%s does not run exclusively on %s", id, name)
			}
			if entry.grantedAt.Equal(model.now) && grants+target.external > target.limit {
				model.t.Fatalf("%s: %d granted, %d external, limit %d", name, grants, target.external, target.limit)
			}
		}
	}
	queued, isolated := dispatcher.queue.length, len(dispatcher.isolationQueue)
	if free != dispatcher.freeSlots || running+queued+isolated != len(dispatcher.entries) {
		model.t.Fatalf("free %d, sum %d, running %d, queued %d, isolated %d, %d entries", free, dispatcher.freeSlots,
			running, queued, isolated, len(dispatcher.entries))
	}
	for queueEntry := range model.waiting {
		if dispatcher.entries[queueEntry] == nil {
			model.t.Fatalf("queue entry %s is lost", queueEntry)
		}
	}
}
