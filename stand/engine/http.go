package engine

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"catkincove/stand/wire"
)

const (
	maxBody   = 8 << 20
	maxRecord = 1000 // bytes of a body that the journal keeps
)

// Work runs one admitted request and reports whether it succeeded.
type Work func(job *Job) bool

// Serve receives a request, admits it and runs the work.
func (engine *Engine) Serve(writer http.ResponseWriter, request *http.Request, work Work) {
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxBody))
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	job := &Job{Writer: writer, Request: request, Body: body, engine: engine, record: engine.recordRequest(request, body)}
	engine.BlockIfFrozen(request)
	faults := engine.Faults()
	engine.setIDHeaders(writer, request, faults.SwapIDs)
	if !engine.admit(job) {
		job.setOutcome(Rejected)
		writer.Header().Set("Retry-After", "1")
		wire.Reply(writer, http.StatusTooManyRequests, wire.Object{"error": "queue is full"})
		return
	}
	defer engine.finishJob(job)
	if faults.PoisonText != "" && strings.Contains(string(body), faults.PoisonText) {
		engine.Crash()
	}
	if engine.consumeScriptedFailure() {
		job.setOutcome(Failed)
		wire.Reply(writer, http.StatusInternalServerError, wire.Object{"error": "scripted failure"})
		return
	}
	outcome := Failed
	if work(job) {
		outcome = Done
	}
	job.Sleep(0) // aborts the request if the target crashed or the caller disconnected, so that it does not count as done
	job.setOutcome(outcome)
}

func (engine *Engine) recordRequest(request *http.Request, body []byte) *Record {
	header := request.Header
	priority, _ := strconv.Atoi(header.Get("X-Priority"))
	record := &Record{
		Request: header.Get("X-Request-Id"), Stage: header.Get("X-Stage"), Attempt: header.Get("X-Attempt"),
		Key: header.Get("Idempotency-Key"), Path: request.URL.Path, Time: time.Now(),
		Body: string(body[:min(len(body), maxRecord)]), Priority: priority,
	}
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	record.Start = engine.incarnation.startID
	engine.counts.Received++
	if len(engine.journal) >= journalLength {
		engine.journal = engine.journal[1:]
	}
	engine.journal = append(engine.journal, record)
	return record
}

// setIDHeaders sets the headers that match a response to its request; swap corrupts them.
func (engine *Engine) setIDHeaders(writer http.ResponseWriter, request *http.Request, swap bool) {
	for _, name := range []string{"X-Request-Id", "X-Stage", "X-Attempt"} {
		value := request.Header.Get(name)
		if swap {
			value += "0"
		}
		writer.Header().Set(name, value)
	}
	writer.Header().Set("X-Start-Id", engine.StartID())
}

// EchoRequest repeats the request's ID in the response.
func EchoRequest(writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set("X-Request-Id", request.Header.Get("X-Request-Id"))
}

// BlockIfFrozen blocks a request to a frozen target until the caller disconnects or the target crashes, and then aborts it.
func (engine *Engine) BlockIfFrozen(request *http.Request) {
	engine.mutex.Lock()
	frozen, ended := engine.faults.Freeze, engine.incarnation.ended
	engine.mutex.Unlock()
	if !frozen {
		return
	}
	select {
	case <-request.Context().Done():
	case <-ended:
	}
	panic(http.ErrAbortHandler)
}

func (engine *Engine) consumeScriptedFailure() bool {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if engine.faults.FailNext == 0 {
		return false
	}
	engine.faults.FailNext--
	return true
}

// ServeCommon serves load reports and control calls, and reports false for any other path.
func (engine *Engine) ServeCommon(writer http.ResponseWriter, request *http.Request, models []string) bool {
	switch request.Method + " " + request.URL.Path {
	case "GET /load":
		engine.BlockIfFrozen(request)
		EchoRequest(writer, request)
		engine.reportLoad(writer, models)
	case "GET /control/journal":
		wire.Reply(writer, http.StatusOK, engine.Journal())
	case "GET /control/counters":
		wire.Reply(writer, http.StatusOK, engine.Counts())
	case "GET /control/faults":
		wire.Reply(writer, http.StatusOK, engine.Faults())
	case "POST /control/faults":
		engine.changeFaults(writer, request)
	default:
		return false
	}
	return true
}

func (engine *Engine) reportLoad(writer http.ResponseWriter, models []string) {
	engine.mutex.Lock()
	if engine.down {
		engine.mutex.Unlock()
		panic(http.ErrAbortHandler)
	}
	engine.recordLoad()
	sample, lag := engine.loads[0], engine.settings.LoadLag
	capacity := engine.settings.Capacity
	engine.mutex.Unlock()
	writer.Header().Set("X-Start-Id", sample.startID)
	wire.Reply(writer, http.StatusOK, wire.Object{
		"start": sample.startID, "running": sample.running, "waiting": sample.waiting,
		"capacity": capacity, "models": models, "age_ms": lag.Milliseconds(),
	})
}

// changeFaults sets the faults of the request body; Crash and TurnCold are actions that run once.
func (engine *Engine) changeFaults(writer http.ResponseWriter, request *http.Request) {
	body, _ := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxBody))
	change := struct {
		Faults
		Crash, TurnCold bool
	}{Faults: engine.Faults()}
	if err := wire.Unmarshal(body, &change); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	engine.SetFaults(change.Faults)
	wire.Reply(writer, http.StatusOK, change.Faults)
	if change.TurnCold {
		engine.TurnCold()
	}
	if change.Crash {
		_ = http.NewResponseController(writer).Flush()
		engine.Crash()
	}
}
