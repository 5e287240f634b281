package main

// Importing runtime/cgo links the program to the C library even when no other package needs it.
import _ "runtime/cgo"

func main() {}
