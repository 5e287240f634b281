package feed

import "catkincove/core"

// FullReply returns the configuration with the members and owners, for a daemon that starts while the store is unavailable.
func (agent *Agent) FullReply() core.ConfigReply {
	agent.mutex.Lock()
	defer agent.mutex.Unlock()
	reply := agent.state.since(0)
	reply.Live = append(sortedByKey(agent.state.members), sortedByKey(agent.state.owners)...)
	return reply
}

// importLive copies members and owners from a peer's reply unless they have already been read from the store.
func (state *state) importLive(entries []core.Entry, change *change) {
	if state.storeRevision > 0 {
		return
	}
	for _, entry := range entries {
		state.put(entry, change)
	}
}
