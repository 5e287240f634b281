package retry

import "sync"

// Defaults of a Budget.
const (
	DefaultRatio    = 0.1 // retries per request; bounds amplification to 1.1
	DefaultCapacity = 10.0
)

// Budget is a token bucket of retries that is refilled by requests; the zero value uses the defaults.
//
// It starts full, so that a daemon that has served little traffic can still retry. Over the daemon's lifetime this adds
// at most Capacity retries to the share per request.
type Budget struct {
	Ratio    float64 // retries deposited per request; 0 means DefaultRatio
	Capacity float64 // maximum number of retries in the budget; 0 means DefaultCapacity

	mutex sync.Mutex
	used  float64 // retries withdrawn and not yet refilled
}

// Deposit adds the share of one request to the budget; a ratio of 0 or less means the ratio of the budget.
func (budget *Budget) Deposit(ratio float64) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.used = max(budget.used-budget.ratio(ratio), 0)
}

// Withdraw uses one retry; it returns false if the budget holds less than one.
func (budget *Budget) Withdraw() bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if !budget.canWithdraw() {
		return false
	}
	budget.used++
	return true
}

// CanWithdraw reports whether Withdraw would return true now.
func (budget *Budget) CanWithdraw() bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	return budget.canWithdraw()
}

func (budget *Budget) canWithdraw() bool { return budget.used+1 <= budget.capacity() }

func (budget *Budget) ratio(ratio float64) float64 {
	switch {
	case ratio > 0:
		return ratio
	case budget.Ratio > 0:
		return budget.Ratio
	default:
		return DefaultRatio
	}
}

func (budget *Budget) capacity() float64 {
	if budget.Capacity > 0 {
		return budget.Capacity
	}
	return DefaultCapacity
}
