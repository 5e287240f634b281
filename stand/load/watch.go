package load

import (
	"context"
	"fmt"
	"strings"
	"time"
)

const watchPause = 500 * time.Millisecond

// watch describes the pools of generating targets, for finding causes.
func (run *run) watch(ctx context.Context) {
	fleet, watched := run.system.(*fleet)
	for watched && ctx.Err() == nil {
		run.pause(ctx, watchPause)
		line := fmt.Sprintf("%5.1fs", time.Since(run.began).Seconds())
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
