package xchg

import (
	"bufio"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"catkincove/core"
)

// TestUnacknowledgedRequest guards against a request that a partition holds up and that reaches its target when the partition
// ends, because the kernel has ended its connection without a reset; and against a sound target that is taken for one behind
// a partition because it reads or responds slowly. The states of the send queue are scripted, since loopback loses nothing.
func TestUnacknowledgedRequest(t *testing.T) {
	const responseAfter = 5 * ackCheckInterval / 2
	for _, test := range []struct {
		name   string
		queues []sendQueue // at each look; the last one is repeated
		reset  bool
	}{
		{"acknowledged", []sendQueue{{}}, false},
		{"not acknowledged", []sendQueue{{true, 300}}, true},
		{"progress", []sendQueue{{true, 900}, {true, 600}, {true, 300}, {}}, false},
		{"acknowledged late", []sendQueue{{true, 300}, {}}, false},
		{"target does not read", []sendQueue{{false, 300}}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			ended := make(chan error, 1)
			address := serveTCP(t, func(connection net.Conn, reader *bufio.Reader) {
				_, _ = readRequest(reader)
				_ = connection.SetReadDeadline(time.Now().Add(responseAfter))
				_, err := reader.ReadByte()
				ended <- err
				writeResponse(connection, "a", "late")
			})
			look := 0
			client := &Client{Clock: core.SystemClock{}, readSendQueue: func(*net.TCPConn) sendQueue {
				look++
				return test.queues[min(look, len(test.queues))-1]
			}}
			response, err := client.Do(t.Context(), Request{Address: address, Method: "GET", URI: "/", Host: "h"})
			if reset := errors.Is(err, errUnacknowledged); reset != test.reset || reset && !Sent(err) {
				t.Fatalf("error %v", err)
			}
			if err := <-ended; errors.Is(err, syscall.ECONNRESET) != test.reset {
				t.Errorf("the target sees %v", err)
			}
			if !test.reset {
				body, err := io.ReadAll(response.Body)
				_ = response.Body.Close()
				if string(body) != "late" || err != nil {
					t.Errorf("%q, %v", body, err)
				}
			}
		})
	}
}
