package retry

import (
	"testing"
	"time"
)

// TestWindowBoundsRetries guards against retries of several daemons that together exceed the limit in some interval of
// the window's length.
func TestWindowBoundsRetries(t *testing.T) {
	const daemons, ratio, slack = 6, 0.2, 52.0
	start := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	var windows [daemons]Window
	for i := range windows {
		windows[i] = Window{Length: 10 * time.Second, Ratio: ratio * 0.8, Slack: slack * 0.8 / daemons}
	}
	type sending struct {
		sentAt  time.Time
		isRetry bool
	}
	var sendings []sending
	for step := range 4000 { // 40 s; from 10 s on, every request fails and is retried
		now := start.Add(time.Duration(step) * 10 * time.Millisecond)
		window := &windows[step%daemons]
		window.AddRequest(now)
		sendings = append(sendings, sending{now, false})
		if step > 1000 && window.Allow(now) {
			sendings = append(sendings, sending{now, true})
		}
	}
	for end := start.Add(10 * time.Second); end.Before(start.Add(40 * time.Second)); end = end.Add(250 * time.Millisecond) {
		requests, retries := 0, 0
		for _, sending := range sendings {
			if sending.sentAt.After(end.Add(-10*time.Second)) && !sending.sentAt.After(end) {
				if sending.isRetry {
					retries++
				} else {
					requests++
				}
			}
		}
		if float64(retries) > ratio*float64(requests)+slack {
			t.Fatalf("%d retries for %d requests in the window that ends at %v", retries, requests, end.Sub(start))
		}
	}
}

// TestZeroWindow guards against a panic when the settings of a window are missing and its length is 0.
func TestZeroWindow(t *testing.T) {
	var window Window
	window.AddRequest(time.Now())
	if window.Allow(time.Now()) {
		t.Error("a window without ratio and slack allows a retry")
	}
}

// TestAllowAll guards against a group of retries that is charged although it does not fit into the limit as a whole.
func TestAllowAll(t *testing.T) {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	window := Window{Slack: 5}
	if !window.AllowAll(now, 3) || window.AllowAll(now, 3) || !window.AllowAll(now, 2) || window.Allow(now) {
		t.Error("groups of 3 and 2 retries must fit into a limit of 5, beside one of 3 that does not")
	}
}
