package canary

// Arm is one side of the comparison.
type Arm int

// The arms; the zero value is Old, so that an undecided request stays where it was served before.
const (
	Old Arm = iota
	New
)

// Outcome is the end of a request for the comparison.
type Outcome int

// The outcomes.
const (
	Good    Outcome = iota
	Bad             // the target failed it, or it exceeded its time limit there
	Ignored         // the end says nothing about the version: the caller left, the path or the daemon failed, or the target rejected it unrun
)
