package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

func newAttempt() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// answer is what a consumer got; status is 0 for a channel that was closed without a whole answer.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

// ask sends one consumer attempt on a new channel and reads the answer.
func ask(ctx context.Context, address, method, path, attempt, body string, limit time.Duration, more ...string) answer {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", address)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = conn.Close() }()
	deadline, _ := ctx.Deadline()
	_ = conn.SetDeadline(deadline)
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nX-Credential: %s\r\n", method, path, host, attempt, limit.Milliseconds(), key)
	for _, line := range more {
		head += line + "\r\n"
	}
	if method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := io.WriteString(conn, head+"\r\n"+body); err != nil {
		return answer{err: err}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	var text strings.Builder
	if _, err = io.Copy(&text, response.Body); err != nil {
		return answer{header: response.Header, body: text.String(), err: err}
	}
	return answer{status: response.StatusCode, header: response.Header, body: text.String()}
}
