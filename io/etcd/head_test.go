package etcd

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"catkincove/core"
)

// TestCutHead guards against a response of the store whose head ends early and that counts as one without a body, as a transaction whose condition is not met
// or as a lease that has expired.
func TestCutHead(t *testing.T) {
	const body = `{"header":{"revision":"8"},"succeeded":true,"ID":"7","result":{"TTL":"2"}}` + "\n"
	frame := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	calls := map[string]func(context.Context, *Client) error{
		"get":  func(ctx context.Context, client *Client) error { _, err := client.Get(ctx, "k"); return err },
		"list": func(ctx context.Context, client *Client) error { _, err := client.List(ctx, "k"); return err },
		"txn":  func(ctx context.Context, client *Client) error { _, err := client.Commit(ctx, core.Txn{}); return err },
		"lease": func(ctx context.Context, client *Client) error {
			_, err := client.GrantLease(ctx, time.Second)
			return err
		},
		"renewal": func(ctx context.Context, client *Client) error { _, err := client.KeepAlive(ctx, 7); return err },
		"end":     func(ctx context.Context, client *Client) error { return client.RevokeLease(ctx, 7) },
		"watch": func(ctx context.Context, client *Client) error {
			ctx, cancel := context.WithCancel(ctx)
			defer cancel()
			events, err := client.Watch(ctx, "k", 7)
			if err != nil {
				return err
			}
			return (<-events).Err
		},
	}
	for _, test := range []struct{ name, head string }{
		{"length", "HTTP/1.1 200 OK\r\n" + frame + "\r\n"},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"},
		{"neither", "HTTP/1.1 200 OK\r\nGrpc-Metadata-Content-Type: application/grpc\r\n\r\n"},
		{"bare line feeds", strings.ReplaceAll("HTTP/1.1 200 OK\r\n"+frame+"\r\n", "\r", "")},
		{"interim response", "HTTP/1.1 103 Early Hints\r\n" + frame + "\r\nHTTP/1.1 200 OK\r\n" + frame + "\r\n"},
		{"error 404", "HTTP/1.1 404 lease not found\r\n" + frame + "\r\n"},
		{"error 400", "HTTP/1.1 400 compacted\r\n" + frame + "\r\n"},
	} {
		for _, second := range []bool{false, true} {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, after another call=%v, reset=%v", test.name, second, reset), func(t *testing.T) {
					t.Parallel()
					var cut, onKept atomic.Int64 // bytes that are sent of the head, 0 for a whole response; responses cut on a connection that had carried another call
					address := serveTCP(t, func(conn *net.TCPConn) {
						reader := bufio.NewReader(conn)
						for carried := 0; ; carried++ {
							request, err := http.ReadRequest(reader)
							if err != nil {
								return
							}
							_, _ = io.Copy(io.Discard, request.Body)
							if cut.Load() == 0 {
								_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+frame+"\r\n"+body)
								continue
							}
							if carried > 0 {
								onKept.Add(1)
							}
							_, _ = io.WriteString(conn, test.head[:cut.Load()])
							if reset {
								time.Sleep(2 * time.Millisecond) // a reset discards what has not been read
								_ = conn.SetLinger(0)
							}
							return
						}
					})
					transport := &http.Transport{}
					defer transport.CloseIdleConnections()
					client := &Client{Endpoints: []string{"http://" + address}, Transport: transport}
					for i := 1; i < len(test.head); i++ {
						for name, call := range calls {
							if cut.Store(0); second {
								if _, err := client.Get(t.Context(), "k"); err != nil {
									t.Fatal(err)
								}
							}
							cut.Store(int64(i))
							before := onKept.Load()
							err := call(t.Context(), client)
							conclusion := errors.Is(err, core.ErrLeaseNotFound) || errors.Is(err, core.ErrCompacted)
							if !errors.Is(err, core.ErrStoreUnavailable) || conclusion {
								t.Errorf("%s, %q: %v", name, test.head[:i], err)
							}
							if onKept.Load() > before {
								t.Errorf("%s, %q: the connection had carried another call", name, test.head[:i])
							}
						}
					}
				})
			}
		}
	}
}

// serveTCP starts a TCP server that runs the script for each connection and then closes the connection.
func serveTCP(t *testing.T, script func(conn *net.TCPConn)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				script(conn.(*net.TCPConn))
			}()
		}
	}()
	return listener.Addr().String()
}
