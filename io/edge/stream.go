package edge

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"catkincove/core"
	"catkincove/core/place"
	"catkincove/io/intake"
	"catkincove/io/stream"
	"catkincove/io/xchg"
)

var (
	errGap        = errors.New("events are missing in the stream")
	errNotResumed = errors.New("the target does not go on with the stream")
)

// stream forwards events as they arrive, whole ones only, so that another target can resume after the last one.
func (relay *relay) stream(ctx context.Context, response *http.Response) error {
	reader := bufio.NewReaderSize(response.Body, stream.BufferBytes)
	request := relay.request
	flusher := http.NewResponseController(relay.writer)
	memory := relay.daemon.responseBudget.Memory()
	defer memory.Release()
	resumed := request.responseStarted
	if resumed && (response.StatusCode != request.status || mediaType(response) != request.mediaType) {
		return relay.notResumed()
	}
	for count := 0; ; count++ {
		relay.watchdog.wait()
		event, id, err := stream.ReadEvent(reader, memory.Reserve)
		if !relay.watchdog.endWait(err == nil || err == io.EOF) {
			return relay.replaced()
		}
		if err == io.EOF && resumed && count == 0 && !relay.delimited {
			return relay.notResumed() // its connection may have broken
		}
		if err == io.EOF {
			return relay.endStream(response, count)
		}
		if errors.Is(err, intake.ErrMemory) { // other responses use the memory, which is no fault of this target
			request.mayHaveRun = true
			relay.daemon.recordOutcome(request, relay.attempt, place.Inconclusive, 0)
			return &sendError{run: core.Unknown, cause: err}
		}
		if err != nil {
			return relay.disconnected(ctx, err)
		}
		if resumed && count == 0 && id == "" && request.isNumbered() && !stream.IsComment(event) {
			return relay.notResumed()
		}
		relay.watchdog.receiveEvent()
		if count == 0 {
			if err := relay.fixOrigin(ctx); err != nil {
				relay.daemon.recordOutcome(request, relay.attempt, place.Inconclusive, 0)
				return &sendError{run: core.HasRun, cause: err}
			}
			relay.beginResponse(response)
		}
		if !request.isNext(id) {
			if request.isDuplicate(id) {
				continue
			}
			relay.resumable = false
			return relay.disconnected(ctx, errGap)
		}
		if _, err := relay.writer.Write(event); err != nil {
			relay.resumable = false
			return relay.disconnected(ctx, err)
		}
		if err := flusher.Flush(); err != nil {
			relay.resumable = false
			return relay.disconnected(ctx, err)
		}
		memory.Release()
		if id != "" {
			request.resumeAfter = id
		}
	}
}

// beginResponse starts the response, unless an earlier attempt has, and frees the inputs, which the target has read by
// now.
func (relay *relay) beginResponse(response *http.Response) {
	request, daemon := relay.request, relay.daemon
	firstEventTime := daemon.clock.Now().Sub(relay.attempt.startedAt)
	relay.inputs.free()
	if !request.responseStarted {
		request.responseStarted, request.status, request.mediaType = true, response.StatusCode, mediaType(response)
		request.firstEventAfter = daemon.clock.Now().Sub(request.startedAt)
		xchg.CopyHeader(relay.writer.Header(), response.Header)
		relay.writer.WriteHeader(response.StatusCode)
		daemon.observeFirstEvent(request.route.Name, firstEventTime)
	}
	relay.firstEventLatency = firstEventTime
	relay.attempt.passage.Answered()
	daemon.reportPrefill(request, relay.attempt, place.Succeeded, firstEventTime)
}

// mediaType returns the type of a response's body without its parameters.
func mediaType(response *http.Response) string {
	name, _, _ := strings.Cut(response.Header.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(name))
}

// notResumed ends an attempt whose target has responded with success, but not with the rest of the stream: what it sends may be the text of an error, and its
// end is not that of the stream.
func (relay *relay) notResumed() error {
	relay.daemon.recordOutcome(relay.request, relay.attempt, place.ErrorResponse, 0)
	return &sendError{run: core.HasRun, cause: errNotResumed}
}

// isNumbered reports whether the last event that the caller has received has a number.
func (request *request) isNumbered() bool {
	_, err := strconv.ParseInt(request.resumeAfter, 10, 64)
	return err == nil
}

func (relay *relay) endStream(response *http.Response, count int) error {
	if count == 0 {
		// A stream that the target ends cleanly is complete, even without an event of this attempt.
		relay.beginResponse(response)
	}
	relay.daemon.recordOutcome(relay.request, relay.attempt, place.Succeeded, relay.firstEventLatency)
	relay.clearCrashes()
	return nil
}

// usualFirstEventTime returns the moving average of the route's time to the first event, or defaultFirstEventTime.
func (daemon *Daemon) usualFirstEventTime(request *request) time.Duration {
	usual := defaultFirstEventTime
	daemon.do(func() {
		if known, found := daemon.control.firstEventTimes[request.route.Name]; found {
			usual = known
		}
	})
	return usual
}

func (daemon *Daemon) observeFirstEvent(route string, firstEventTime time.Duration) {
	daemon.loop.Post(func() {
		usual, known := daemon.control.firstEventTimes[route]
		if !known {
			usual = firstEventTime
		}
		daemon.control.firstEventTimes[route] = usual + time.Duration(float64(firstEventTime-usual)*firstEventAlpha)
	})
}

// isNext reports whether the event with the ID directly follows the last one that the caller has received.
func (request *request) isNext(id string) bool {
	last, lastErr := strconv.ParseInt(request.resumeAfter, 10, 64)
	next, nextErr := strconv.ParseInt(id, 10, 64)
	if lastErr != nil || nextErr != nil {
		return true // the stream is not numbered, or has just begun
	}
	return next == last+1
}

// isDuplicate reports whether the caller has already received the event with the ID.
func (request *request) isDuplicate(id string) bool {
	last, _ := strconv.ParseInt(request.resumeAfter, 10, 64)
	next, err := strconv.ParseInt(id, 10, 64)
	return err == nil && next <= last
}
