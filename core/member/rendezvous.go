package member

import (
	"cmp"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"catkincove/core"
)

// Numbers of heartbeat peers; a full mesh of more than 8 peers would exceed the traffic that a daemon may use for heartbeats.
const (
	maxMeshPeers = 8
	randomPeers  = 4
)

// Addresses returns up to limit addresses of daemons that are not leaving, same data centre first, ordered by the caller's hash.
func (view *View) Addresses(now time.Time, callerHash uint64, dataCentre string, limit int) []string {
	view.init()
	view.expire(now)
	records := slices.DeleteFunc(view.Known(), func(record Record) bool { return record.Leaving })
	seed := binary.BigEndian.AppendUint64(nil, callerHash)
	rank := func(record Record) (int, uint64) {
		locality := 1
		if record.DataCentre == dataCentre {
			locality = 0
		}
		return locality, weight(seed, record.ID)
	}
	slices.SortFunc(records, func(a, b Record) int {
		localityA, weightA := rank(a)
		localityB, weightB := rank(b)
		return cmp.Or(cmp.Compare(localityA, localityB), cmp.Compare(weightA, weightB))
	})
	addresses := make([]string, 0, limit)
	for _, record := range records[:min(limit, len(records))] {
		addresses = append(addresses, record.Address)
	}
	return addresses
}

// RankOwners returns the live daemons that are not leaving by descending rendezvous weight for the pool.
func (view *View) RankOwners(now time.Time, pool core.PoolID) []core.MemberID {
	ids := slices.DeleteFunc(view.Live(now), view.Leaving)
	return RankOwners(ids, pool)
}

// RankOwners returns the daemons by descending rendezvous weight for the pool, the preferred owner first.
func RankOwners(ids []core.MemberID, pool core.PoolID) []core.MemberID {
	ordered := slices.Clone(ids)
	seed := []byte(pool.String())
	slices.SortFunc(ordered, func(a, b core.MemberID) int {
		return cmp.Or(cmp.Compare(weight(seed, b), weight(seed, a)), cmp.Compare(a, b))
	})
	return ordered
}

// PreferredOwner returns the daemon with the highest rendezvous weight for the pool; empty if ids is empty.
func PreferredOwner(ids []core.MemberID, pool core.PoolID) core.MemberID {
	var preferred core.MemberID
	var highest uint64
	seed := []byte(pool.String())
	for _, id := range ids {
		candidate := weight(seed, id)
		if preferred == "" || candidate > highest || candidate == highest && id < preferred {
			preferred, highest = id, candidate
		}
	}
	return preferred
}

// weight returns the rendezvous weight of a daemon, a hash of the seed and its ID.
func weight(seed []byte, id core.MemberID) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.Write(seed)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(string(id))
	return digest.Sum64()
}

// HeartbeatPeers returns the peers of the next heartbeat: all of them up to 8, otherwise 4 drawn at random from the seed.
func (view *View) HeartbeatPeers(now time.Time, seed uint64) []Record {
	view.init()
	view.expire(now)
	peers := slices.DeleteFunc(view.Known(), func(record Record) bool { return record.ID == view.Self.ID })
	if len(peers) <= maxMeshPeers {
		return peers
	}
	random := rand.New(rand.NewPCG(seed, 0))
	random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:randomPeers]
}
