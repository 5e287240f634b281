package proof

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"catkincove/stand/world"
)

// The crowd and the bounds that `serve` keeps, which were fixed before it limited its connections.
const (
	crowdSize        = 400     // connections of the crowd at any time
	crowdBytes       = 300_000 // sent on each of them
	crowdMemory      = 128     // MB of the machine, which the resident memory never exceeds
	crowdDescriptors = 500     // limit on the descriptors of the daemon
	maxOpened        = 400     // descriptors open at any time; the rest are for the store, other daemons and targets
	crowdDuration    = 2 * time.Second
)

// startCrowd keeps connections open that send the bytes, opens them again when they are closed, and returns when each was opened once or could not be.
func startCrowd(t *testing.T, address string, sends []byte) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	var members, opened sync.WaitGroup
	for range crowdSize {
		opened.Add(1)
		members.Go(func() {
			first := sync.OnceFunc(opened.Done)
			for ctx.Err() == nil {
				dialer := net.Dialer{Timeout: time.Second}
				conn, err := dialer.DialContext(ctx, "tcp", address)
				if err == nil {
					stopClose := context.AfterFunc(ctx, func() { _ = conn.Close() })
					_ = conn.SetWriteDeadline(time.Now().Add(time.Second))
					_, err = conn.Write(sends)
					first()
					for buffer := make([]byte, 4096); err == nil; {
						_, err = conn.Read(buffer)
					}
					stopClose()
					_ = conn.Close()
				}
				first()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	opened.Wait()
	return func() { cancel(); members.Wait() }
}

// endlessHeaders returns the begin of an HTTP/2 connection whose first request has headers that do not end.
func endlessHeaders(size int) []byte {
	const frameBytes = 16_000
	frame := func(kind byte, stream uint32, payload []byte) []byte {
		head := binary.BigEndian.AppendUint32(nil, uint32(len(payload))<<8|uint32(kind))
		return append(binary.BigEndian.AppendUint32(append(head, 0), stream), payload...)
	}
	field := append([]byte{0x00, 1, 'a', 100}, bytes.Repeat([]byte("x"), 100)...) // a literal field that is not indexed
	payload := bytes.Repeat(field, frameBytes/len(field))
	sent := append([]byte("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"), frame(4, 0, nil)...)
	sent = append(sent, frame(1, 1, payload)...)
	for len(sent) < size {
		sent = append(sent, frame(9, 1, payload)...)
	}
	return sent
}

// shortLines returns header lines of a few bytes each, no two with one name.
func shortLines(size int) string {
	var text strings.Builder
	for i := 0; text.Len() < size; i++ {
		fmt.Fprintf(&text, "%03x:\r\n", i)
	}
	return text.String()
}

// heldRequests returns the begin of an HTTP/2 connection with requests of which each has a whole header of very many short fields, and a body that does not come.
func heldRequests(size int) []byte {
	const fields = 1600
	frame := func(kind, flags byte, stream uint32, payload []byte) []byte {
		head := append(binary.BigEndian.AppendUint32(nil, uint32(len(payload))<<8|uint32(kind)), flags)
		return append(binary.BigEndian.AppendUint32(head, stream), payload...)
	}
	path, authority := "/v1/tickets", "x"
	payload := append([]byte{0x83, 0x86, 0x04, byte(len(path))}, path...)       // POST, http, and a path that is not indexed
	payload = append(append(payload, 0x01, byte(len(authority))), authority...) // authority that is not indexed
	for i := range fields {
		payload = append(payload, 0x00, 3, "abcdefghijklmnop"[i>>8&15], "abcdefghijklmnop"[i>>4&15], "abcdefghijklmnop"[i&15], 0)
	}
	sent := append([]byte("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"), frame(4, 0, 0, nil)...)
	const endOfHeaders = 4
	for stream := uint32(1); len(sent) < size; stream += 2 {
		sent = append(sent, frame(1, endOfHeaders, stream, payload)...)
	}
	return sent
}

// TestCrowdAtServe guards against a daemon that runs out of memory or descriptors because of clients that send no whole request, and against ordinary callers
// that are not served meanwhile.
func TestCrowdAtServe(t *testing.T) {
	head := "POST /v1/tickets HTTP/1.1\r\nHost: x\r\n"
	for _, test := range []struct {
		name  string
		sends []byte
	}{
		{"heads", []byte(head + strings.Repeat("X-A: 0123456789\r\n", crowdBytes/17))},
		{"heads below the limit", []byte(head + strings.Repeat("X-A: 0123456789\r\n", 60_000/17))},
		{"empty lines", bytes.Repeat([]byte("\r\n"), crowdBytes/2)},
		{"HTTP/2", endlessHeaders(crowdBytes)},
		{"bodies", []byte(head + "Content-Length: 16000000\r\n\r\n" + strings.Repeat("b", crowdBytes))},
		{"peer bodies", []byte("POST /peer/grant HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\n" + strings.Repeat(" ", crowdBytes))},
		{"idle", nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			playCrowd(t, test.sends)
		})
	}
}

// TestCrowdOfShortLinesAtServe guards against a daemon that runs out of memory because a header line of a few bytes takes many times its length once it is parsed.
func TestCrowdOfShortLinesAtServe(t *testing.T) {
	head := "POST /v1/tickets HTTP/1.1\r\nHost: x\r\n" + shortLines(60_000)
	t.Run("heads without end", func(t *testing.T) { playCrowd(t, []byte(head)) })
	t.Run("bodies that stop", func(t *testing.T) { playCrowd(t, []byte(head+"Content-Length: 1000\r\n\r\nbody")) })
}

// TestCrowdOfStreamsAtServe guards against the heads of the many requests that an HTTP/2 connection may have in progress.
func TestCrowdOfStreamsAtServe(t *testing.T) { playCrowd(t, heldRequests(crowdBytes)) }

// TestCrowdOfBodiesAtServe guards against bodies that take many times their length once they are decoded: entries for stages that the pipeline does not have.
func TestCrowdOfBodiesAtServe(t *testing.T) {
	var body strings.Builder
	body.WriteString(`{"Question":"stock","Calls":{`)
	for i := 0; body.Len() < crowdBytes; i++ {
		fmt.Fprintf(&body, `"%x":0,`, i)
	}
	body.WriteString(`"end":0}}`)
	head := "POST /v1/pipelines/lookup HTTP/1.1\r\nHost: x\r\nCatkincove-Team: fans\r\nContent-Length: " + strconv.Itoa(body.Len()) + "\r\n\r\n"
	playCrowd(t, []byte(head+body.String()))
}

// playCrowd checks that a daemon lives, stays within its memory and descriptors, and serves ordinary callers beside and after a crowd.
func playCrowd(t *testing.T, sends []byte) {
	fleet := (&fleet{t: t, descriptors: crowdDescriptors, daemonLines: fmt.Sprintf("MemoryMB = %d", crowdMemory)}).begin(1, world.Options{})
	fleet.waitForOwners()
	daemon := fleet.daemons[0]
	served := func() bool { return sendOnce(daemon, lookup(1)) == nil }
	fleet.eventually(10*time.Second, "ordinary request before the crowd", served)
	stop := startCrowd(t, daemon.listen, sends)
	peak := 0
	for end := time.Now().Add(crowdDuration); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", daemon.command.Process.Pid))
		if err != nil {
			t.Fatalf("the daemon has ended: %v", err)
		}
		peak = max(peak, len(entries))
	}
	fleet.eventually(10*time.Second, "ordinary request beside the crowd", served)
	stop()
	fleet.eventually(10*time.Second, "ordinary request after the crowd", served)
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", daemon.command.Process.Pid))
	if err != nil {
		t.Fatalf("the daemon has ended: %v", err)
	}
	_, line, _ := strings.Cut(string(text), "VmHWM:")
	kilobytes, err := strconv.Atoi(strings.Fields(line)[0])
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("peak: %d MB, %d descriptors", kilobytes>>10, peak)
	if kilobytes>>10 > crowdMemory {
		t.Errorf("the daemon has had %d MB, at most %d may be", kilobytes>>10, crowdMemory)
	}
	if peak > maxOpened {
		t.Errorf("the daemon has had %d descriptors open, at most %d may be", peak, maxOpened)
	}
}
