package loop

import (
	"context"
	"errors"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"
)

// Loop runs posted functions one after another; the zero value is ready to use.
//
// The queue is unbounded, so that Post never blocks a function that itself runs on the loop.
type Loop struct {
	// OnPanic receives the value and the stack of a panic of a posted function, after which the loop goes on; nil lets the
	// panic end the process.
	OnPanic func(value any, stack []byte)

	mutex sync.Mutex
	queue []func()
	wake  chan struct{}
	once  sync.Once
	busy  atomic.Int64 // nanoseconds
}

// BusyTime returns the total time spent in posted functions, a measure of the load of the control goroutine.
func (loop *Loop) BusyTime() time.Duration { return time.Duration(loop.busy.Load()) }

func (loop *Loop) init() {
	loop.once.Do(func() { loop.wake = make(chan struct{}, 1) })
}

// Post queues a function and returns at once.
func (loop *Loop) Post(function func()) {
	loop.init()
	loop.mutex.Lock()
	loop.queue = append(loop.queue, function)
	loop.mutex.Unlock()
	select {
	case loop.wake <- struct{}{}:
	default:
	}
}

// ErrPanicked reports that a function ended in a panic, which OnPanic has received.
var ErrPanicked = errors.New("function panicked on the loop")

// Do posts a function and waits until it has run; it returns ErrPanicked if the function panicked. When ctx ends before the
// function has begun, Do returns the error of ctx and the function never runs: it may write to variables of its caller.
func (loop *Loop) Do(ctx context.Context, function func()) error {
	done := make(chan struct{})
	var claimed atomic.Bool // by the loop, to run the function, or by the end of ctx, to abandon it
	completed := false
	loop.Post(func() {
		if !claimed.CompareAndSwap(false, true) {
			return
		}
		defer close(done)
		function()
		completed = true
	})
	select {
	case <-done:
	case <-ctx.Done():
		if claimed.CompareAndSwap(false, true) {
			return ctx.Err()
		}
		<-done // the function has begun
	}
	if !completed {
		return ErrPanicked
	}
	return nil
}

// Run executes posted functions until ctx ends; functions still queued then are dropped.
func (loop *Loop) Run(ctx context.Context) error {
	loop.init()
	for {
		if err := loop.drain(ctx); err != nil {
			return err
		}
		select {
		case <-loop.wake:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// drain runs the queued functions; their wall time counts as busy time, since they do not block.
func (loop *Loop) drain(ctx context.Context) error {
	began := time.Now()
	defer func() { loop.busy.Add(int64(time.Since(began))) }()
	for _, function := range loop.takeQueue() {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		loop.call(function)
	}
	return nil
}

func (loop *Loop) call(function func()) {
	if loop.OnPanic != nil {
		defer func() {
			if value := recover(); value != nil {
				loop.OnPanic(value, debug.Stack())
			}
		}()
	}
	function()
}

// takeQueue removes and returns the queued functions.
func (loop *Loop) takeQueue() []func() {
	loop.mutex.Lock()
	defer loop.mutex.Unlock()
	queue := loop.queue
	loop.queue = nil
	return queue
}
