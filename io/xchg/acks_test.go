package xchg

import (
	"bufio"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

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

// TestProbesEndSilentConnections guards against the limit on unacknowledged bytes keeping a connection to a silent host open for 10 s: once it
// is set, it also decides when keep-alive probes give up, whatever their count.
func TestProbesEndSilentConnections(t *testing.T) {
	const (
		noticedWithin = 3 * time.Second // while a target works on a request
		tolerated     = 5 * time.Second // min limit while a request is on its way, which must not be ended without a reset
	)
	userTimeout := func(conn *net.TCPConn) time.Duration {
		raw, err := conn.SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		milliseconds := 0
		if err := raw.Control(func(fd uintptr) {
			milliseconds, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		}); err != nil {
			t.Fatal(err)
		}
		return time.Duration(milliseconds) * time.Millisecond
	}
	release := make(chan struct{})
	address := serveTCP(t, func(connection net.Conn, reader *bufio.Reader) {
		_, _ = readRequest(reader)
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n")
		<-release
		_, _ = io.WriteString(connection, "0\r\n\r\n")
		_, _ = reader.ReadByte()
	})
	client := &Client{Clock: core.SystemClock{}}
	response, err := client.Do(t.Context(), Request{Address: address, Method: "GET", URI: "/", Host: "h"})
	if err != nil {
		t.Fatal(err)
	}
	conn := response.Body.(*body).exchange.conn
	if limit := userTimeout(conn.net); limit > noticedWithin {
		t.Errorf("a silent host is noticed after %v in a stream", limit)
	}
	close(release)
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if limit := userTimeout(conn.net); limit < tolerated {
		t.Errorf("the kernel ends a kept connection after %v", limit)
	}
}
