// Package story collects the log lines that explain what happened to one request, from the logs of all daemons.
package story
