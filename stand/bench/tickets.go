package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"catkincove/core/config"
	"catkincove/io/entry"
	"catkincove/io/inifmt"
)

// TicketResult says how tickets of a window fared, from the answers of the daemons.
type TicketResult struct {
	Sent     int
	InForce  int // confirmed by all daemons within the 3 s that a daemon waits
	Accepted int
	Failed   int
	Failure  string
	Ms       Spread // from the request to the answer "in force"
}

// String returns the result for people.
func (result TicketResult) String() string {
	return fmt.Sprintf("tickets %d sent, %d in force in %.0f ms (%.0f to %.0f), %d only accepted, %d failed %s",
		result.Sent, result.InForce, result.Ms.Median, result.Ms.Min, result.Ms.Max, result.Accepted, result.Failed, result.Failure)
}

// sendTickets sends tickets at the rate of the shape to the daemons in turn, for the duration; without one it waits.
func (fleet *Fleet) sendTickets(duration time.Duration) TicketResult {
	if fleet.shape.Rate == 0 {
		time.Sleep(duration)
		return TicketResult{}
	}
	var group sync.WaitGroup
	var mutex sync.Mutex
	var result TicketResult
	var times []float64
	pause := time.Duration(float64(time.Second) / fleet.shape.Rate)
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(pause) {
		fleet.platform.tickets++
		number := fleet.platform.tickets
		result.Sent++
		group.Go(func() {
			began := time.Now()
			state, err := fleet.postTicket(number)
			mutex.Lock()
			defer mutex.Unlock()
			switch {
			case err != nil:
				result.Failed++
				result.Failure = err.Error()
			case state == "InForce":
				result.InForce++
				times = append(times, float64(time.Since(began).Milliseconds()))
			default:
				result.Accepted++
			}
		})
	}
	group.Wait()
	result.Ms = SpreadOf(times)
	return result
}

// postTicket changes the weight of one team.
func (fleet *Fleet) postTicket(number int64) (string, error) {
	object := team(int(number)%fleet.shape.Teams, 2+int(number))
	text := inifmt.FormatTicket(config.Ticket{Number: number, Operator: "bench", Objects: []config.Object{object}})
	daemon := fleet.daemons[int(number)%len(fleet.daemons)]
	response, err := fleet.client.Post("http://"+daemon.address+"/v1/tickets", "text/plain", strings.NewReader(text))
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return "", err
	}
	if response.StatusCode != http.StatusOK {
		return "", fmt.Errorf("status %d: %s", response.StatusCode, data)
	}
	var body entry.TicketBody
	return body.State, json.Unmarshal(data, &body)
}
