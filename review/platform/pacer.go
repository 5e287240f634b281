package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"
)

// pacer returns the daemon that acts for the others of the fleet, by what the daemons tell each other, and one of the others if none does.
func (fleet *fleet) pacer(not []*daemon) *daemon {
	client := &http.Client{Timeout: time.Second}
	var usable []*daemon
	for _, daemon := range fleet.daemons {
		if slices.Contains(not, daemon) {
			continue
		}
		usable = append(usable, daemon)
		response, err := client.Post("http://"+daemon.peer+"/peer/ping", "application/json", strings.NewReader("{}"))
		if err != nil {
			continue
		}
		var status struct{ Sends []string }
		err = json.NewDecoder(response.Body).Decode(&status)
		_ = response.Body.Close()
		if err == nil && len(status.Sends) > 0 {
			return daemon
		}
	}
	return usable[0]
}
