package xchg

import (
	"errors"
	"net/http"
	"regexp"
	"strings"
)

// errJoinedHeads reports that the head of a response begins with a part of another one.
var errJoinedHeads = errors.New("the head of the response begins with a part of another one")

var statusLine = regexp.MustCompile(`HTTP/\d\.\d \d{3}`)

// HeadIsJoined reports whether the reason phrase or a header value of a response holds a status line: the beginning of another response, which ends inside a
// line, stands before the response and gives it another status or other headers.
func HeadIsJoined(response *http.Response) bool {
	if holdsStatusLine(response.Status) {
		return true
	}
	for _, values := range response.Header {
		for _, value := range values {
			if holdsStatusLine(value) {
				return true
			}
		}
	}
	return false
}

func holdsStatusLine(text string) bool {
	return strings.Contains(text, "HTTP/") && statusLine.MatchString(text)
}
