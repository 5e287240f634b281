package load

import (
	"context"
	"fmt"
	"strings"
	"time"
)

const watchInterval = 500 * time.Millisecond

// watchPools reports the state of busy pools and of those with generating targets at each interval, for diagnosis.
func (run *run) watchPools(ctx context.Context) {
	fleet, watched := run.system.(*fleet)
	for watched && ctx.Err() == nil {
		run.sleep(ctx, watchInterval)
		line := fmt.Sprintf("%5.1fs", time.Since(run.started).Seconds())
		for _, pool := range fleet.pools(ctx) {
			if !strings.HasPrefix(pool.Pool, generate) && pool.Waiting == 0 {
				continue
			}
			line += fmt.Sprintf("  %s free %d waiting %d wait %dms", pool.Pool, pool.Free, pool.Waiting, pool.WaitMs)
			for _, target := range pool.Targets {
				line += fmt.Sprintf(" %d+%d/%d", target.Running, target.Foreign, target.Limit)
			}
		}
		run.settings.Watch(line)
	}
}
