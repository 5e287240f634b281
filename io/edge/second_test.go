package edge

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"catkincove/core"
	"catkincove/io/inifmt"
)

// targetServer answers at once, and attempts whose name begins with "slow" as its fields say.
type targetServer struct {
	address   string
	slow      bool // answers after 1.5 s unless it is cancelled before
	rejects   bool // answers that it has not run the request
	failed    bool // answers with an error 500 after 300 ms
	requests  sync.Map
	received  atomic.Int64
	cancelled atomic.Int64
}

func newTargetServer(t *testing.T, slow bool) *targetServer {
	target := &targetServer{slow: slow}
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		attempt := request.Header.Get("Attempt")
		target.received.Add(1)
		target.requests.Store(attempt, true)
		_, _ = http.MaxBytesReader(writer, request.Body, 1<<20).Read(make([]byte, 1<<10))
		writer.Header().Set("Attempt", attempt)
		writer.Header().Set("Digest", "d")
		if len(attempt) > 4 && attempt[:4] == "slow" {
			switch {
			case target.rejects:
				writer.Header().Del("Digest")
				writer.Header().Set("Not-Run", "1")
				writer.WriteHeader(http.StatusServiceUnavailable)
				return
			case target.failed:
				time.Sleep(300 * time.Millisecond)
				writer.WriteHeader(http.StatusInternalServerError)
				return
			case target.slow:
				select {
				case <-request.Context().Done():
					target.cancelled.Add(1)
				case <-time.After(1500 * time.Millisecond):
				}
			}
		}
		_, _ = fmt.Fprintf(writer, "answer to %s", attempt)
	}))
	t.Cleanup(server.Close)
	target.address = server.Listener.Addr().String()
	return target
}

// newRacingDaemon returns a daemon whose service ledger has a slow and a fast target, which knows that answers take some milliseconds.
func newRacingDaemon(t *testing.T, share float64, slow, fast *targetServer) headDaemon {
	daemon := newHeadDaemon(t, slow.address, core.SystemClock{})
	daemon.settings.Store(&inifmt.EdgeSettings{Bounds: inifmt.EdgeBounds{RetrySlack: 1_000_000, RetryWindow: 10 * time.Second, HedgeShare: share}})
	daemon.do(func() {
		now := daemon.clock.Now()
		var registrations []core.Entry
		for i, address := range []string{slow.address, fast.address} {
			id := fmt.Sprintf("i-ledger%d", i)
			value, _ := json.Marshal(core.TargetEntry{ID: id, Service: "ledger", Address: address, DataCentre: "dc", Version: "v1", Slots: 8, StartedAt: time.UnixMilli(1), Sequence: 1})
			registrations = append(registrations, core.Entry{Key: daemon.dialect.TargetPrefix() + id, Value: value, ModRevision: 2})
		}
		daemon.control.registrations.Replace(now, core.Snapshot{Revision: 2, Entries: registrations})
		daemon.rebuildView()
		for range 200 { // known requests give credit for second tries
			daemon.hedger().Begin(now, "safe")
			daemon.hedger().Observe(now, "safe", 40*time.Millisecond)
			daemon.hedger().Observe(now, "unsafe", 40*time.Millisecond)
		}
	})
	return daemon
}

// TestSecondTry guards against a slow answer that is waited for although another target would answer, a loser that works on, an answer that reaches the caller
// twice, second tries beyond the share, and any of requests that may not be repeated or with the share at 0.
func TestSecondTry(t *testing.T) {
	for _, test := range []struct {
		name, route string
		share       float64
		some        bool // second tries are expected
	}{
		{"safe", "safe", 0.05, true}, {"not safe", "unsafe", 0.05, false}, {"off", "safe", 0, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			slow, fast := newTargetServer(t, true), newTargetServer(t, false)
			daemon := newRacingDaemon(t, test.share, slow, fast)
			requests, extra := 0, int64(0)
			for end := time.Now().Add(30 * time.Second); requests < 40 || test.some && extra == 0 && time.Now().Before(end); { // on a busy machine the daemon's own stalls postpone second tries
				var group sync.WaitGroup
				for range 20 {
					attempt := fmt.Sprintf("slow%04d", requests)
					requests++
					group.Go(func() {
						got := sendRequest(t.Context(), daemon.front, test.route, attempt)
						if got.err != nil || got.status != http.StatusOK || got.body != "answer to "+attempt {
							t.Errorf("%s: %+v", attempt, got)
						}
					})
				}
				group.Wait()
				extra = slow.received.Load() + fast.received.Load() - int64(requests)
			}
			if most := test.share * float64(200+requests); float64(extra) > most || test.some != (extra > 0) {
				t.Errorf("%d second tries, limit %v", extra, most)
			}
			both := int64(0)
			slow.requests.Range(func(attempt, _ any) bool {
				if _, found := fast.requests.Load(attempt); found {
					both++
				}
				return true
			})
			if both != extra {
				t.Errorf("%d requests reached both targets, %d were sent too often", both, extra)
			}
			for end := time.Now().Add(time.Second); slow.cancelled.Load() < extra && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			}
			if cancelled := slow.cancelled.Load(); cancelled != extra {
				t.Errorf("%d losers were cancelled of %d", cancelled, extra)
			}
		})
	}
}

// TestSecondTryFails guards against a first answer that is lost because the second target rejects or fails the request, and against the promise that a request
// has not run which the first target has run.
func TestSecondTryFails(t *testing.T) {
	for _, test := range []struct {
		name          string
		firstFails    bool
		secondRejects bool
		status        int
	}{
		{"the second target rejects", false, true, http.StatusOK},
		{"the first fails, the second rejects", true, true, http.StatusBadGateway},
		{"the first fails", true, false, http.StatusOK},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			slow, fast := newTargetServer(t, true), newTargetServer(t, false)
			slow.failed, fast.rejects = test.firstFails, test.secondRejects
			daemon := newRacingDaemon(t, 0.1, slow, fast)
			if test.secondRejects {
				daemon.do(func() { daemon.control.chooser.Begin(daemon.clock.Now(), "i-ledger1") }) // the slow target is chosen first
			}
			attempt, got := "", callerResponse{}
			for i := range 20 {
				attempt = fmt.Sprintf("slow%04d", i)
				got = sendRequest(t.Context(), daemon.front, "safe", attempt)
				if _, found := slow.requests.Load(attempt); found {
					break
				}
			}
			if got.status != test.status {
				t.Errorf("%s: %+v, want status %d", attempt, got, test.status)
			}
		})
	}
}
