// Package place chooses the target for one request from what this daemon has observed of each target: responses,
// timeouts, failures, cold starts and the prompts that it has cached.
package place
