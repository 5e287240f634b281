package audit

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"catkincove/core"
)

// options returns a configuration without findings, after the change.
func options(change func(*core.RoutingOptions)) core.RoutingOptions {
	batch := &core.BatchSpec{MaxPieces: 8, MaxCalls: 1, CallOverhead: 200 * time.Millisecond, PieceTime: 20 * time.Millisecond, MaxResultBytes: 18e6, ResultTTL: 4 * time.Second}
	options := core.RoutingOptions{
		Version: 7,
		Routes: []core.Route{
			{
				Name: "draft", Host: "h", Prefix: "/draft/", Stream: true, Resumable: true, Timeout: 6 * time.Second, LatencyObjective: time.Second, GapObjective: 200 * time.Millisecond,
				Services: []core.ServiceShare{{Service: "model", Weight: 1}}, MaxTargets: 2,
				Stages: []core.StageSpec{{Service: "stock", ResultBytes: 1e6}, {Service: "stock", After: []int{0}, ResultBytes: 8000}},
			},
			{Name: "book", Host: "h", Prefix: "/", Timeout: time.Second, LatencyObjective: 200 * time.Millisecond, Services: []core.ServiceShare{{Service: "ledger", Weight: 1}}, MaxTargets: 1},
		},
		Services:      []core.ServiceSpec{{Name: "model", Engine: &core.EngineSpec{Slots: 16}}, {Name: "stock", Batch: batch}, {Name: "ledger"}},
		Teams:         map[string]core.TeamSpec{},
		TeamList:      []core.TeamCredentials{{Team: core.TeamSpec{Name: "sales"}, Credentials: []string{"k1", "k2"}}},
		RequestLimits: core.RequestLimits{HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
	if change != nil {
		change(&options)
	}
	return options
}

// TestReview guards against entries that no request can match, and limits that no request can meet, which are sent without a word, and against findings
// about a configuration that has no fault.
func TestReview(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*core.RoutingOptions)
		want   string // severity, entry and a part of the text of the only finding; empty if there is none
	}{
		{"none", nil, ""},
		{"covered", func(o *core.RoutingOptions) { o.Routes = append(o.Routes, o.Routes[1]) }, "error routes[2] never matches: routes[1] (book)"},
		{"same prefix of another host", func(o *core.RoutingOptions) { o.Routes = append(o.Routes, o.Routes[1]); o.Routes[2].Host = "i" }, ""},
		{"no host", func(o *core.RoutingOptions) { o.Routes[0].Host = "" }, "error routes[0] never matches: the host is empty"},
		{"port", func(o *core.RoutingOptions) { o.Routes[0].Host = "h:80" }, "error routes[0] never matches: the host \"h:80\" has a port"},
		{"capitals", func(o *core.RoutingOptions) { o.Routes[0].Host = "H" }, "warning routes[0] matches only"},
		{"relative prefix", func(o *core.RoutingOptions) { o.Routes[0].Prefix = "draft" }, "error routes[0] never matches: the path prefix \"draft\""},
		{"query", func(o *core.RoutingOptions) { o.Routes[0].Prefix = "/draft?a" }, "error routes[0] never matches"},
		{"no time", func(o *core.RoutingOptions) { o.Routes[1].Timeout = 0 }, "error routes[1] the time limit is 0s"},
		{"objective beyond the limit", func(o *core.RoutingOptions) { o.Routes[1].LatencyObjective = 2 * time.Second }, "warning routes[1] the latency objective 2s"},
		{"stages beyond the objective", func(o *core.RoutingOptions) { o.Routes[0].LatencyObjective = 400 * time.Millisecond }, "warning routes[0] no request can be in time: the stages take at least 440ms"},
		{"stages beyond the limit", func(o *core.RoutingOptions) {
			o.Routes[0].Timeout, o.Routes[0].LatencyObjective = 400*time.Millisecond, 300*time.Millisecond
		}, "error routes[0] no request can be served: the stages take at least 440ms"},
		{"result too large", func(o *core.RoutingOptions) { o.Routes[0].Stages[0].ResultBytes = 20e6 }, "error routes[0] a result of stage 0"},
		{"unknown stage", func(o *core.RoutingOptions) { o.Routes[0].Stages[1].Service = "none" }, "error routes[0] service none of stage 1"},
		{"stage without pieces", func(o *core.RoutingOptions) { o.Routes[0].Stages[1].Service = "ledger" }, "error routes[0] service ledger of stage 1 does not work on pieces"},
		{"results expire", func(o *core.RoutingOptions) { o.Services[1].Batch.ResultTTL = 100 * time.Millisecond }, "warning routes[0] results of stage 0 are kept for 100ms"},
		{"unknown service", func(o *core.RoutingOptions) { o.Routes[1].Services[0].Service = "none"; o.Services = o.Services[:2] }, "error routes[1] service none"},
		{"no weight", func(o *core.RoutingOptions) {
			o.Routes[1].Services = append(o.Routes[1].Services, core.ServiceShare{Service: "model"})
		}, "warning routes[1] service model never gets a request"},
		{"gaps without a stream", func(o *core.RoutingOptions) { o.Routes[1].GapObjective = time.Millisecond }, "warning routes[1] the objective for gaps"},
		{"priority", func(o *core.RoutingOptions) { o.Routes[1].Priority = 12 }, "warning routes[1] the priority 12"},
		{"unused service", func(o *core.RoutingOptions) { o.Services = append(o.Services, core.ServiceSpec{Name: "old"}) }, "warning services[3] no route uses it"},
		{"service twice", func(o *core.RoutingOptions) { o.Services = append(o.Services, o.Services[2]) }, "error services[2] has no effect: services[3]"},
		{"batches of none", func(o *core.RoutingOptions) { o.Services[1].Batch.MaxPieces = 0 }, "error services[1] a call takes at most 0 pieces"},
		{"no slots", func(o *core.RoutingOptions) { o.Services[0].Engine.Slots = 0 }, "error services[0] its engines have 0 slots"},
		{"credential of two teams", func(o *core.RoutingOptions) {
			o.TeamList = append(o.TeamList, core.TeamCredentials{Team: core.TeamSpec{Name: "parts"}, Credentials: []string{"k2"}})
		}, "error teams[0] credential 1 belongs to parts"},
		{"no credential", func(o *core.RoutingOptions) { o.TeamList[0].Credentials = nil }, "warning teams[0] no request belongs to it"},
		{"long heads", func(o *core.RoutingOptions) { o.RequestLimits.HeaderBytes = 100 << 10 }, "warning limits heads may have 102400 bytes"},
		{"short idle time", func(o *core.RoutingOptions) { o.RequestLimits.IdleTimeout = time.Second }, "warning limits connections may be idle for 1s"},
	} {
		t.Run(test.name, func(t *testing.T) {
			var found []string
			for _, finding := range Review(options(test.change), Limits{HeaderBytes: 64 << 10}) {
				found = append(found, fmt.Sprint(finding.Severity, " ", finding.Entry, " ", finding.Text))
			}
			if test.want == "" && len(found) > 0 || test.want != "" && (len(found) != 1 || !strings.HasPrefix(found[0], test.want)) {
				t.Errorf("%q, want %q", found, test.want)
			}
		})
	}
}

// TestCompare guards against a change for callers that is not told, a credential in the report, and a version that the daemons would not take.
func TestCompare(t *testing.T) {
	next := options(func(o *core.RoutingOptions) {
		o.Version = 8
		o.Routes[0].Timeout = 5 * time.Second
		o.Routes[0].Services = []core.ServiceShare{{Service: "model", Weight: 90}, {Service: "ledger", Weight: 10}}
		o.Routes[1].Prefix = "/book/"
		o.Services[2].MaxConnections = 50
		o.TeamList[0].Credentials = []string{"k2", "k3"}
		o.RequestLimits.BodyBytes = 1 << 20
	})
	changes, findings := Compare(options(nil), next)
	want := []string{
		"route h /: removed",
		"route h /draft/: time limit 5s instead of 6s; services model 90% + ledger 10% instead of model 100%",
		"route h /book/: added",
		"service ledger: connections per target 50 instead of 0",
		"team sales: 1 credentials removed: callers that use them get 401; 1 credentials added",
		"limits on requests: bytes of a body 1048576 instead of 4194304",
	}
	if !slices.Equal(changes, want) || len(findings) > 0 {
		t.Errorf("%q, %v", changes, findings)
	}
	if changes, findings := Compare(next, next); len(changes) > 0 || len(findings) != 1 || findings[0].Severity != Failure {
		t.Errorf("the same version: %q, %v", changes, findings)
	}
	public := options(func(o *core.RoutingOptions) { o.Version, o.Teams, o.TeamList = 8, nil, nil })
	if changes, _ := Compare(options(nil), public); !slices.Equal(changes, []string{"teams: credentials are no longer asked for"}) {
		t.Errorf("without teams: %q", changes)
	}
}
