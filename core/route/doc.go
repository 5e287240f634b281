// Package route orders the pools of a service for a daemon by network distance and expected wait.
package route
