package main

import (
	"bytes"
	"io"
	"net"
	"testing"

	"catkincove/core"
	plat "catkincove/platform"
)

// TestStoreBytesWithoutEnd guards against a daemon that reads, and keeps in memory, the head of a store's response whatever its
// length: bytes that are no response may come until the connection is closed.
func TestStoreBytesWithoutEnd(t *testing.T) {
	// 64 KB of a head, 6 MB in the daemon's socket buffer and 64 KB in that of the store.
	const maxAccepted = 64<<10 + 6<<20 + 64<<10
	for _, test := range []struct{ name, begin, then string }{
		{"no response", "", "\x00\x01\xfe no answer "},
		{"header lines", "HTTP/1.1 200 OK\r\n", "X: y\r\n"},
	} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = listener.Close() })
		accepted := make(chan int, 1)
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			_ = conn.(*net.TCPConn).SetWriteBuffer(32 << 10) // the kernel doubles it
			_, _ = io.WriteString(conn, test.begin)
			chunk := bytes.Repeat([]byte(test.then), 1000)
			sum := 0
			for sum < 16*maxAccepted {
				count, err := conn.Write(chunk)
				if sum += count; err != nil {
					break
				}
			}
			accepted <- sum
		}()
		store := &plat.Store{Address: listener.Addr().String(), HTTP: storeClient(), Clock: core.SystemClock{}}
		if _, err := store.List(t.Context(), ""); err == nil {
			t.Errorf("%s: no error", test.name)
		}
		if sum := <-accepted; sum > maxAccepted {
			t.Errorf("%s: %d bytes were accepted", test.name, sum)
		}
	}
}
