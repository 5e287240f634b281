package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const connectTimeout = time.Second

// question is one request of a consumer, over all its attempts.
type question struct {
	method, path string
	body         []byte
	limit        time.Duration // the consumer's time limit
	prompt       string        // X-Prefix-Hash; empty sends no model headers
	tokens       string
}

// answer is what a consumer attempt brought.
type answer struct {
	attempt    string
	status     int // 0 if the channel ended before an answer
	seal       string
	retryAfter time.Duration
	versions   []string // of the events, in order
	lastEvent  string
	complete   bool
	unsent     bool // the channel could not be opened
	err        error
	kind       string // body of an answer of the daemon's own
}

// pick returns an address of the directory's newest answer, other than those that have failed.
func (fleet *fleet) pick(failed map[string]bool) string {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	var usable []string
	for _, address := range fleet.addresses {
		if !failed[address] {
			usable = append(usable, address)
		}
	}
	if len(usable) == 0 {
		usable = fleet.addresses
	}
	if len(usable) == 0 {
		return ""
	}
	return usable[rand.IntN(len(usable))]
}

// send makes one consumer attempt on a new channel.
func (fleet *fleet) send(address string, question question, left time.Duration, lastEvent, resumes string) answer {
	result := answer{attempt: fleet.nextAttempt(), lastEvent: lastEvent}
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	name := address
	if daemon := fleet.byFront(address); daemon != nil {
		name = daemon.name
	}
	fleet.mutex.Lock()
	fleet.takenBy[result.attempt] = name
	fleet.mutex.Unlock()
	opened := false
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{Timeout: connectTimeout}).DialContext(ctx, network, address)
		opened = err == nil
		return conn, err
	}}
	defer transport.CloseIdleConnections()
	request, err := http.NewRequestWithContext(ctx, question.method, "http://"+address+question.path, bytes.NewReader(question.body))
	if err != nil {
		cannotRun("request: %v", err)
	}
	request.Host = host
	request.Header.Set("X-Attempt-Id", result.attempt)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	request.Header.Set("X-Credential", key)
	if question.prompt != "" {
		request.Header.Set("X-Model-Name", "m")
		request.Header.Set("X-Token-Usage", question.tokens)
		request.Header.Set("X-Prefix-Hash", question.prompt)
	}
	if lastEvent != "" {
		request.Header.Set("Last-Event-Id", lastEvent)
		request.Header.Set("Resumes", resumes)
	}
	fleet.record.add("consumer sends %s to %s: %s %s after %q", result.attempt, name, question.method, question.path, lastEvent)
	response, err := transport.RoundTrip(request)
	if err != nil {
		result.err, result.unsent = err, !opened
		fleet.record.add("consumer gets no answer to %s: %v", result.attempt, err)
		return result
	}
	defer func() { _ = response.Body.Close() }()
	result.status, result.seal = response.StatusCode, response.Header.Get("X-Response-Seal")
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		result.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		result.readEvents(response.Body)
	} else {
		body, err := io.ReadAll(response.Body)
		result.complete, result.err, result.kind = err == nil, err, strings.TrimSpace(string(body))
	}
	fleet.record.add("consumer gets %d for %s, sealed %v, complete %v, last event %q, %d events, %q", result.status, result.attempt, result.seal != "", result.complete, result.lastEvent,
		len(result.versions), result.kind)
	return result
}

// readEvents reads whole events; an event holds the software version of the replica that made it.
func (answer *answer) readEvents(body io.Reader) {
	reader := bufio.NewReader(body)
	id, version := "", ""
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			answer.complete, answer.err = err == io.EOF && line == "", err
			return
		}
		line = strings.TrimRight(line, "\r\n")
		switch {
		case strings.HasPrefix(line, "id: "):
			id = line[4:]
		case strings.HasPrefix(line, "data: "):
			version = line[strings.LastIndex(line, " ")+1:]
		case line == "":
			answer.lastEvent, answer.versions = id, append(answer.versions, version)
		}
	}
}

// ask sends a question and, as a consumer of a resumable stream, takes it up again after a broken channel or a promise.
func (fleet *fleet) ask(question question, retries int) (all []answer) {
	until := time.Now().Add(question.limit)
	failed := map[string]bool{}
	lastEvent, began := "", ""
	for try := 0; try <= retries; try++ {
		left := time.Until(until)
		if left <= 0 {
			return all
		}
		address := fleet.pick(failed)
		if address == "" {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		got := fleet.send(address, question, left, lastEvent, began)
		all = append(all, got)
		if len(got.versions) > 0 {
			if began == "" {
				began = got.attempt // the attempt that brought the first event
			}
			lastEvent = got.lastEvent
		}
		switch {
		case got.status >= 200 && got.status < 300 && got.complete:
			return all
		case got.status == 400 || got.status == 401 || got.status == 404 || got.status == 413 || got.status == 422 || got.status == 431:
			return all
		case got.status == 0 || !got.complete:
			failed[address] = true
		}
		if got.retryAfter > 0 {
			time.Sleep(min(got.retryAfter, time.Until(until)/3))
		}
	}
	return all
}

// flow sends questions at a rate until the time, and calls done for each with its answers.
func (fleet *fleet) flow(group *sync.WaitGroup, rate float64, until time.Time, retries int, next func(number int) question, done func(question, []answer)) {
	group.Go(func() {
		for number := 0; time.Now().Before(until); number++ {
			asked := next(number)
			group.Go(func() { done(asked, fleet.ask(asked, retries)) })
			time.Sleep(time.Duration(float64(time.Second) / rate * (0.6 + 0.8*rand.Float64())))
		}
	})
}

func prompt(thing, number int) string {
	return fmt.Sprintf("5c1e%04x:6300,%016x:2890", thing, number)
}
