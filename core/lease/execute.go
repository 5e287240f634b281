package lease

import (
	"context"
	"time"

	"catkincove/core"
)

// executePlans commits the releases and claims that the keeper plans.
func (agent *Agent) executePlans(ctx context.Context) {
	for core.Sleep(ctx, agent.Clock, planInterval) {
		var plan Plan
		planned := agent.runOnLoop(ctx, func(now time.Time) {
			if fleetState, known := agent.FleetState(now); known {
				plan = agent.Keeper.Plan(now, fleetState)
			}
		})
		if !planned {
			return
		}
		failed := agent.commitReleases(ctx, plan.Releases)
		failed = agent.commitClaims(ctx, plan.Claims) || failed
		if failed && !core.Sleep(ctx, agent.Clock, agent.retryDelay()) {
			return
		}
	}
}

// commitClaims commits the claims in batches and reports whether a call failed.
func (agent *Agent) commitClaims(ctx context.Context, claims []Claim) bool {
	failed := false
	for len(claims) > 0 {
		batch := claims[:min(len(claims), maxTxnsPerCommit)]
		claims = claims[len(batch):]
		txns := make([]core.Txn, 0, len(batch))
		for _, claim := range batch {
			txns = append(txns, agent.claimTxn(claim))
		}
		agent.counters.claims.Add(int64(len(batch)))
		results, err := agent.commit(ctx, txns)
		failed = failed || err != nil
		agent.postChange(func(now time.Time) {
			for i, claim := range batch {
				agent.applyClaimResult(now, claim, results, i, err)
			}
		})
	}
	return failed
}

// commit runs the transactions in one store call.
func (agent *Agent) commit(ctx context.Context, txns []core.Txn) ([]core.TxnResult, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return agent.Store.CommitAll(ctx, txns)
}

// claimTxn writes the owner key if its create revision still equals the claim's token, and reads it otherwise.
func (agent *Agent) claimTxn(claim Claim) core.Txn {
	key := OwnerKey(claim.Pool)
	expected := core.Revision(claim.Token)
	put := core.Put{Key: key, Value: encodeOwner(agent.Keeper.Self, agent.Keeper.Address), Lease: claim.Lease}
	return core.Txn{
		Compares:  []core.Compare{{Key: key, CreateRevision: &expected}},
		Puts:      []core.Put{put},
		OnFailure: []string{key},
	}
}

// applyClaimResult passes the result of a claim to the keeper; results is valid only if err is nil.
func (agent *Agent) applyClaimResult(now time.Time, claim Claim, results []core.TxnResult, i int, err error) {
	switch {
	case err != nil:
		agent.Keeper.ClaimUnknown(claim)
	case results[i].Succeeded:
		agent.Keeper.Claimed(now, claim, results[i].Revision)
	case len(results[i].Entries) > 0:
		agent.Keeper.ClaimFailed(now, claim, &results[i].Entries[0])
	default:
		agent.Keeper.ClaimFailed(now, claim, nil)
	}
}

// commitReleases deletes the owner keys in batches and reports whether a call failed.
func (agent *Agent) commitReleases(ctx context.Context, releases []Owner) bool {
	failed := false
	for len(releases) > 0 {
		batch := releases[:min(len(releases), maxTxnsPerCommit)]
		releases = releases[len(batch):]
		txns := make([]core.Txn, 0, len(batch))
		for _, owner := range batch {
			txns = append(txns, releaseTxn(owner))
		}
		agent.counters.releases.Add(int64(len(batch)))
		_, err := agent.commit(ctx, txns)
		failed = failed || err != nil
		if err != nil {
			continue
		}
		agent.postChange(func(now time.Time) {
			for _, owner := range batch {
				agent.Keeper.Released(now, owner)
			}
		})
	}
	return failed
}

// releaseTxn deletes the owner key if its create revision still equals the owner's token.
func releaseTxn(owner Owner) core.Txn {
	key := OwnerKey(owner.Pool)
	token := core.Revision(owner.Token)
	compare := core.Compare{Key: key, CreateRevision: &token}
	return core.Txn{Compares: []core.Compare{compare}, Deletes: []string{key}}
}
