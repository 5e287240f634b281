package intake

import "bytes"

// serverBuffer is the size of the buffer into which a server reads a head, with what follows it.
const serverBuffer = 4 << 10

// tail is what a server has read last behind a head.
type tail struct {
	memory int64 // if it is the begin of a head
	whole  bool  // it ends with an empty line, as heads and chunked bodies do
}

func newTail(read []byte) tail {
	read = read[max(len(read)-serverBuffer, 0):]
	return tail{memory: headMemory(read), whole: bytes.HasSuffix(read, []byte("\n\r\n")) || bytes.HasSuffix(read, []byte("\n\n"))}
}

// hasBuffered reports, when a response has ended, whether the server has read the begin of a further head together with the request; the mutex must be held.
func (conn *Conn) hasBuffered() bool {
	if conn.multiplexed || conn.afterHead == 0 {
		return false
	}
	if conn.bodyLength < 0 {
		return !conn.tail.whole
	}
	return conn.afterHead > conn.bodyLength
}
