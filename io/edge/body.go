package edge

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cespare/xxhash/v2"

	"catkincove/core"
	"catkincove/core/blame"
	"catkincove/io/intake"
)

const (
	bodyMemoryShare     = 0.25    // share of MemoryMB for request bodies
	responseMemoryShare = 0.15    // share of MemoryMB for what is read of responses before it is forwarded
	messageMemoryShare  = 0.1     // share of MemoryMB for messages of other daemons that are longer than 64 KB
	defaultMaxBody      = 4 << 20 // bytes; limit on a body while the routing states none
)

var (
	errTooLarge    = errors.New("body is too large")
	errBodyTimeout = errors.New("body is incomplete at the time limit of the request")
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
	memory := daemon.bodyBudget.Memory()
	connection := http.NewResponseController(writer)
	_ = connection.SetReadDeadline(request.deadline) // fails only for connections that have no deadlines
	body, err := readAll(incoming, memory, limit)
	_ = connection.SetReadDeadline(time.Time{})
	if err != nil {
		memory.Release()
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
	if errors.Is(cause, intake.ErrMemory) {
		kind, retryAfter = core.Unavailable, time.Second
	}
	return core.Errorf(kind, "body: %w", cause).WithRetryAfter(retryAfter)
}

// readAll reads a body of at most limit bytes, reserving its memory in advance.
func readAll(incoming *http.Request, memory *intake.Memory, limit int64) ([]byte, error) {
	if incoming.ContentLength >= 0 {
		return memory.ReadFull(incoming.Body, incoming.ContentLength)
	}
	body, err := io.ReadAll(memory.Reader(io.LimitReader(incoming.Body, limit+1)))
	if err == nil && int64(len(body)) > limit {
		err = errTooLarge
	}
	return body, err
}
