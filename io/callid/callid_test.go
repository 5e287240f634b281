package callid

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"catkincove/stand/fault"
)

// TestServerWithoutIDs guards against a second copy of a response of a server that echoes no IDs, which is read as the response to another call, against a
// server that is not used because it echoes none, against a connection for each call once it does, and against a GET that fails although it may be sent again.
func TestServerWithoutIDs(t *testing.T) {
	var echoes atomic.Bool
	answer := http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.WriteString(writer, request.URL.Path)
	})
	server, err := fault.ListenRepeating(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if echoes.Load() {
			Echo(answer).ServeHTTP(writer, request)
			return
		}
		answer.ServeHTTP(writer, request)
	}))
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	transport := &Transport{Kept: &http.Transport{}}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	call := func(method, path string) (string, error) {
		request, err := http.NewRequestWithContext(t.Context(), method, "http://"+server.Address()+path, nil)
		if err != nil {
			return "", err
		}
		response, err := client.Do(request)
		if err != nil {
			return "", err
		}
		defer func() { _ = response.Body.Close() }()
		body, err := io.ReadAll(response.Body)
		return string(body), err
	}
	paths := []string{"/a", "/b", "/c", "/d", "/e", "/f", "/g", "/h"}
	for _, path := range paths {
		if body, err := call(http.MethodPost, path); err != nil || body != path {
			t.Errorf("without IDs: %s got %q, %v", path, body, err)
		}
	}
	echoes.Store(true)
	before, served := server.Connections(), 0
	for _, path := range append(paths, paths...) {
		body, err := call(http.MethodPost, path)
		if err == nil && body != path {
			t.Errorf("with IDs: %s got %q", path, body)
		}
		if err == nil {
			served++
		}
	}
	opened := int(server.Connections() - before)
	if served < len(paths) || opened >= 2*len(paths) {
		t.Errorf("with IDs: %d of %d calls served over %d new connections", served, 2*len(paths), opened)
	}
	for _, path := range paths {
		if body, err := call(http.MethodGet, path); err != nil || body != path {
			t.Errorf("GET of %s got %q, %v", path, body, err)
		}
	}
}
