// Package route orders the pools of a service by network delay from the daemon and by expected wait.
package route
