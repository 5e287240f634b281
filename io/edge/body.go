package edge

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"catkincove/core"
	"catkincove/core/blame"
)

const (
	bodyMemoryShare     = 0.25    // share of MemoryMB for request bodies
	responseMemoryShare = 0.15    // share of MemoryMB for what is read of responses before it is forwarded
	defaultMaxBody      = 4 << 20 // bytes; limit on a body while the routing states none
)

var (
	errTooLarge    = errors.New("body is too large")
	errBodyTimeout = errors.New("body is incomplete at the time limit of the request")
	errBodyMemory  = errors.New("bodies exceed their memory limit")
)

// readBody reads the whole body, so that it can be sent again; it returns an error if the body, or the memory of all
// bodies, exceeds its limit, or if the body is incomplete at the deadline of the request.
func (daemon *Daemon) readBody(writer http.ResponseWriter, request *request, requestLimits core.RequestLimits) error {
	incoming := request.incoming
	limit := requestLimits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if incoming.ContentLength > limit {
		return bodyError(errTooLarge)
	}
	memory := daemon.newBodyMemory(&daemon.bodyBytes, bodyMemoryShare)
	if err := memory.reserve(incoming.ContentLength); err != nil {
		return bodyError(err)
	}
	connection := http.NewResponseController(writer)
	_ = connection.SetReadDeadline(request.deadline) // fails only for connections that have no deadlines
	body, err := memory.readAll(incoming, limit)
	_ = connection.SetReadDeadline(time.Time{})
	if err != nil {
		memory.release()
		return bodyError(err)
	}
	request.body, request.bodyMemory = body, memory
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(incoming.RequestURI + "\x00" + request.caller.Credential + "\x00")
	_, _ = digest.Write(body)
	request.fingerprint = core.Fingerprint(digest.Sum64())
	request.suspects = blame.Request{Content: request.fingerprint}
	for i, part := range request.sharedParts() {
		if i < maxSuspectParts {
			request.suspects.Parts = append(request.suspects.Parts, partFingerprint(part))
		}
	}
	return nil
}

// bodyError returns the error to report for a body that cannot be read.
func bodyError(cause error) error {
	if errors.Is(cause, os.ErrDeadlineExceeded) {
		cause = errBodyTimeout
	}
	kind, retryAfter := core.BadRequest, time.Duration(0)
	if errors.Is(cause, errBodyMemory) {
		kind, retryAfter = core.Unavailable, time.Second
	}
	return core.Errorf(kind, "body: %w", cause).WithRetryAfter(retryAfter)
}

// bodyMemory is the part of the memory for bodies that one request has reserved; release frees it.
type bodyMemory struct {
	used     *atomic.Int64 // bytes reserved by all
	budget   int64
	reserved int64 // bytes
}

// newBodyMemory returns the memory for a request body, or that for a response, of which nothing is reserved yet.
func (daemon *Daemon) newBodyMemory(used *atomic.Int64, share float64) *bodyMemory {
	return &bodyMemory{used: used, budget: int64(float64(daemon.options.Settings.MemoryMB) * share * (1 << 20))}
}

// reserve reserves the memory of the first bytes of a body; it returns errBodyMemory if there is too little.
func (memory *bodyMemory) reserve(bytes int64) error {
	further := bytes - memory.reserved
	if further <= 0 {
		return nil
	}
	if memory.used.Add(further) > memory.budget {
		memory.used.Add(-further)
		return errBodyMemory
	}
	memory.reserved += further
	return nil
}

// readAll reads a body of at most limit bytes, reserving its memory in advance.
func (memory *bodyMemory) readAll(incoming *http.Request, limit int64) ([]byte, error) {
	if incoming.ContentLength >= 0 {
		body := make([]byte, incoming.ContentLength)
		_, err := io.ReadFull(incoming.Body, body)
		return body, err
	}
	body, err := io.ReadAll(&meteredReader{source: io.LimitReader(incoming.Body, limit+1), memory: memory})
	if err == nil && int64(len(body)) > limit {
		err = errTooLarge
	}
	return body, err
}

func (memory *bodyMemory) release() {
	memory.used.Add(-memory.reserved)
	memory.reserved = 0
}

// meteredReader reserves memory for the buffers that it reads into: a read of a chunk returns only when its buffer is full.
type meteredReader struct {
	source io.Reader
	memory *bodyMemory
	count  int64 // bytes read
}

// Read returns errBodyMemory when the memory for bodies is used up.
func (reader *meteredReader) Read(data []byte) (int, error) {
	if err := reader.memory.reserve(reader.count + int64(len(data))); err != nil {
		return 0, err
	}
	count, err := reader.source.Read(data)
	reader.count += int64(count)
	return count, err
}
