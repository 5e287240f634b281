package bench

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// WindowShape is the load under which ways to count teams over a window are compared, in virtual time.
type WindowShape struct {
	Daemons int
	Teams   int
	Rate    float64 // requests a second over all daemons, with exponential gaps
	Sites   int     // daemons that the requests of one team reach
}

// call is one request at one daemon.
type call struct {
	at         time.Duration
	site, team int
}

// load draws calls; team n has a share in proportion to 1/(n+1), as nearly as rand.Zipf allows.
type load struct {
	random *rand.Rand
	zipf   *rand.Zipf
	rate   float64
	sites  [][]int // of each team
	now    time.Duration
}

func newLoad(shape WindowShape, seed uint64) *load {
	const exponent = 1.001 // rand.Zipf demands more than 1
	random := rand.New(rand.NewPCG(seed, 0))
	load := &load{random: random, zipf: rand.NewZipf(random, exponent, 1, uint64(shape.Teams-1)), rate: shape.Rate}
	for range shape.Teams {
		load.sites = append(load.sites, random.Perm(shape.Daemons)[:shape.Sites])
	}
	return load
}

func (load *load) next() call {
	load.now += time.Duration(load.random.ExpFloat64() / load.rate * float64(time.Second))
	team := int(load.zipf.Uint64())
	return call{load.now, load.sites[team][load.random.IntN(len(load.sites[team]))], team}
}

// rows holds the figures of a message by team: counts, or differences between ages.
type rows map[int][]int

// rowsOf counts calls, oldest first, by team and by bucket from the first call's bucket on.
func rowsOf(calls []call, width time.Duration) rows {
	rows := rows{}
	for _, call := range calls {
		bucket := int(call.at/width - calls[0].at/width)
		for len(rows[call.team]) <= bucket {
			rows[call.team] = append(rows[call.team], 0)
		}
		rows[call.team][bucket]++
	}
	return rows
}

// encode returns the compact form: the daemon's number, the number of the bucket or cut in one byte, and for each team
// the difference of its number, the number of figures and the figures, all but the byte as unsigned varints.
func (rows rows) encode(site, number int) []byte {
	data := append(binary.AppendUvarint(nil, uint64(site)), byte(number))
	previous := 0
	for _, team := range slices.Sorted(maps.Keys(rows)) {
		data = binary.AppendUvarint(data, uint64(team-previous))
		data = binary.AppendUvarint(data, uint64(len(rows[team])))
		for _, figure := range rows[team] {
			data = binary.AppendUvarint(data, uint64(figure))
		}
		previous = team
	}
	return data
}

func (rows rows) encodeJSON(site, number int) []byte {
	var teams []map[string]any
	for team, figures := range rows {
		teams = append(teams, map[string]any{"Team": teamName(team), "Counts": figures})
	}
	from := fmt.Sprintf("d%d-01KCQ4G6T2M9V0W3X5Y7Z8ABCD", site)
	data, _ := json.Marshal(map[string]any{"From": from, "Number": number, "Teams": teams}) // always has a JSON form
	return data
}

func teamName(team int) string { return fmt.Sprintf("team%04d", team) }

// traffic counts what each daemon sends, without the headers of HTTP, TCP and IP.
type traffic struct{ messages, compact, json []int }

func newTraffic(daemons int) traffic {
	return traffic{make([]int, daemons), make([]int, daemons), make([]int, daemons)}
}

func (traffic *traffic) sent() *traffic { return traffic }

func (traffic *traffic) record(site, number int, rows rows) {
	if len(rows) == 0 {
		return
	}
	traffic.messages[site]++
	traffic.compact[site] += len(rows.encode(site, number))
	traffic.json[site] += len(rows.encodeJSON(site, number))
}
