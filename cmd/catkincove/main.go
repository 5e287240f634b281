package main

import (
	"os"

	// Importing runtime/cgo links the program to the C library even when no other package needs it.
	_ "runtime/cgo"

	"catkincove/io/tool"
)

func main() {
	ctx, cancel := tool.SignalContext()
	code := tool.Main(ctx, parts, os.Args, os.Stdout, os.Stderr)
	cancel()
	os.Exit(code)
}
