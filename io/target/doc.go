// Package target calls targets over HTTP with JSON and server-sent events, as docs/targets.md describes.
package target
