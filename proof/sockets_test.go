package proof

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"testing"

	"golang.org/x/sys/unix"
)

// Sizes and offsets of the kernel's messages about one socket (linux/netlink.h, linux/inet_diag.h).
const (
	netlinkHeaderBytes = 16
	diagRequestBytes   = 56 // struct inet_diag_req_v2
	diagSocketOffset   = 8  // of the addresses in the request
	diagMessageBytes   = 72 // struct inet_diag_msg
	diagInodeOffset    = 68
	diagAllStates      = 0xffffffff
	diagNoCookie       = 0xffffffff
)

var errNoSocket = errors.New("no such socket")

// socketInode returns the inode of this host's IPv4 TCP socket with the addresses, or errNoSocket.
//
// It asks for the one socket: a read of /proc/net/tcp takes half a second while other processes of the host leave tens of
// thousands of closed connections behind, longer than daemons wait for a response to a heartbeat.
func socketInode(local, remote netip.AddrPort) (uint32, error) {
	socket, err := unix.Socket(unix.AF_NETLINK, unix.SOCK_RAW|unix.SOCK_CLOEXEC, unix.NETLINK_INET_DIAG)
	if err != nil {
		return 0, fmt.Errorf("socket lookup: %w", err)
	}
	defer func() { _ = unix.Close(socket) }()
	if err := unix.Sendto(socket, encodeSocketRequest(local, remote), 0, &unix.SockaddrNetlink{Family: unix.AF_NETLINK}); err != nil {
		return 0, fmt.Errorf("socket lookup: %w", err)
	}
	response := make([]byte, os.Getpagesize())
	length, _, err := unix.Recvfrom(socket, response, 0)
	if err != nil {
		return 0, fmt.Errorf("socket lookup: %w", err)
	}
	return decodeSocketResponse(response[:length])
}

func encodeSocketRequest(local, remote netip.AddrPort) []byte {
	native := binary.NativeEndian
	request := native.AppendUint32(nil, netlinkHeaderBytes+diagRequestBytes)
	request = native.AppendUint16(request, unix.SOCK_DIAG_BY_FAMILY)
	request = native.AppendUint16(request, unix.NLM_F_REQUEST)
	request = append(request, make([]byte, netlinkHeaderBytes-len(request)+diagRequestBytes)...)
	diag := request[netlinkHeaderBytes:]
	diag[0], diag[1] = unix.AF_INET, unix.IPPROTO_TCP
	native.PutUint32(diag[4:], diagAllStates)
	socket := diag[diagSocketOffset:]
	binary.BigEndian.PutUint16(socket[0:], local.Port())
	binary.BigEndian.PutUint16(socket[2:], remote.Port())
	copy(socket[4:20], local.Addr().Unmap().AsSlice())
	copy(socket[20:36], remote.Addr().Unmap().AsSlice())
	native.PutUint32(socket[40:], diagNoCookie)
	native.PutUint32(socket[44:], diagNoCookie)
	return request
}

func decodeSocketResponse(response []byte) (uint32, error) {
	if len(response) < netlinkHeaderBytes+4 {
		return 0, fmt.Errorf("socket lookup: response of %d bytes", len(response))
	}
	kind, body := binary.NativeEndian.Uint16(response[4:]), response[netlinkHeaderBytes:]
	switch {
	case kind == unix.NLMSG_ERROR:
		errno := unix.Errno(-int32(binary.NativeEndian.Uint32(body)))
		if errno == unix.ENOENT {
			return 0, errNoSocket
		}
		return 0, fmt.Errorf("socket lookup: %w", errno)
	case kind != unix.SOCK_DIAG_BY_FAMILY || len(body) < diagMessageBytes:
		return 0, fmt.Errorf("socket lookup: response of type %d and %d bytes", kind, len(response))
	}
	inode := binary.NativeEndian.Uint32(body[diagInodeOffset:])
	if inode == 0 { // a closed connection whose addresses the kernel still keeps
		return 0, errNoSocket
	}
	return inode, nil
}

// hasSocket reports whether the process has the socket open.
func hasSocket(process int, inode uint32) bool {
	folder := fmt.Sprintf("/proc/%d/fd", process)
	wanted := fmt.Sprintf("socket:[%d]", inode)
	files, _ := os.ReadDir(folder)
	for _, file := range files {
		if link, _ := os.Readlink(filepath.Join(folder, file.Name())); link == wanted {
			return true
		}
	}
	return false
}

// TestSocketInode guards against connections between daemons that are counted as those of another process: then faults
// are injected on the wrong link, or on none.
func TestSocketInode(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	up, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	down, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	dialler, accepted := addressPort(up.LocalAddr()), addressPort(up.RemoteAddr())
	upInode, upErr := socketInode(dialler, accepted)
	downInode, downErr := socketInode(accepted, dialler)
	if upErr != nil || downErr != nil || upInode == downInode {
		t.Fatalf("sockets %d (%v) and %d (%v); expected two", upInode, upErr, downInode, downErr)
	}
	for _, inode := range []uint32{upInode, downInode} {
		if !hasSocket(os.Getpid(), inode) || hasSocket(os.Getppid(), inode) {
			t.Errorf("socket %d: this process has it: %t, its parent: %t", inode, hasSocket(os.Getpid(), inode), hasSocket(os.Getppid(), inode))
		}
	}
	_ = up.Close()
	_ = down.Close()
	if inode, err := socketInode(dialler, accepted); !errors.Is(err, errNoSocket) {
		t.Errorf("closed connection: socket %d, %v", inode, err)
	}
}
