package canary

// In a fleet of many daemons the part of the bounds that each may use by itself is a few requests, and at full traffic some daemon always has used its own.
// While the last routes move, the parts do not hold there; the judge keeps the sum of all within the bounds.
const (
	pooledFleet  = 8    // daemons from which on this is so; below it the parts of the daemons suffice
	pooledSpare  = 0.25 // seconds of full traffic that are left of the bounds, for reports and grants on their way
	minPooledUse = 0.05 // seconds of full traffic below which the parts hold again
)

func isPooled(fleet Fleet) bool { return len(fleet.Daemons) >= pooledFleet }

// pool returns the grant without the parts of the daemons, if the fleet is large and the bounds of all together have room.
func (judge *Judge) pool(grant Grant, fleet Fleet) Grant {
	if isPooled(fleet) && (judge.ramp.moving || !judge.ramp.fullSince.IsZero()) && judge.ramp.left > minPooledUse {
		grant.Bounds.Share = 1
	}
	return grant
}
