package edge

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"
	"time"

	"catkincove/core"
	"catkincove/core/loop"
)

// taskRestartDelay is the time after which a task that has panicked begins again.
const taskRestartDelay = time.Second

// reportPanic logs and counts a panic that was recovered: one unexpected message or error must not end the process, which
// serves other requests meanwhile.
func (daemon *Daemon) reportPanic(part string, value any, stack []byte) {
	daemon.metrics.panics.Add(1)
	daemon.log.Error().Str(eventField, eventPanic).Str("Part", part).Str("Cause", fmt.Sprint(value)).Bytes("Stack", stack).Msg("recovered from a panic")
}

// recoverPanic reports a panic of the deferring function and stops it.
func (daemon *Daemon) recoverPanic(part string) {
	if value := recover(); value != nil {
		daemon.reportPanic(part, value, debug.Stack())
	}
}

// spawn runs a function on a goroutine of its own.
func (daemon *Daemon) spawn(part string, function func()) {
	go func() {
		defer daemon.recoverPanic(part)
		function()
	}()
}

// guard returns a handler that closes the connection of a request whose handling panics, which promises nothing about
// whether the request has run.
func (daemon *Daemon) guard(part string, handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		defer func() {
			value := recover()
			if value == nil {
				return
			}
			if value != http.ErrAbortHandler {
				daemon.reportPanic(part, value, debug.Stack())
			}
			if !request.ProtoAtLeast(1, 1) {
				resetConnection(writer)
			}
			panic(http.ErrAbortHandler)
		}()
		handler.ServeHTTP(writer, request)
	})
}

// resetConnection ends a response without a length to a caller that knows no chunks, for whom any other end of the connection
// means that the response is complete.
func resetConnection(writer http.ResponseWriter) {
	conn, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return // the connection has ended already
	}
	if tcp, isTCP := conn.(interface{ SetLinger(seconds int) error }); isTCP {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// restartTask runs a task again whenever it panics, until ctx ends.
func (daemon *Daemon) restartTask(ctx context.Context, part string, task func(context.Context) error) error {
	for {
		panicked := true
		var err error
		func() {
			defer daemon.recoverPanic(part)
			err = task(ctx)
			panicked = false
		}()
		if !panicked || !core.Sleep(ctx, daemon.clock, taskRestartDelay) {
			return errors.Join(err, ctx.Err())
		}
	}
}

// do runs a function on the control loop and waits for it. A panic of the function, which the loop has reported, goes on
// in the caller, whose variables are not set.
func (daemon *Daemon) do(function func()) {
	if err := daemon.loop.Do(daemon.loopContext, function); errors.Is(err, loop.ErrPanicked) {
		panic(err)
	}
}
