package main

import (
	"fmt"
	"os"
)

// plays are the cases by name.
var plays = map[string]func(record *record, trouble bool) (broken bool, err error){
	"memory":   playMemory,
	"parts":    playParts,
	"versions": playVersions,
}

// main runs a case: review-fleet NAME RECORD. It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run; TROUBLE=0 leaves out the disruption.
func main() {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-fleet NAME RECORD")
		os.Exit(2)
	}
	record, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	broken, err := plays[os.Args[1]](record, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		record.printf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	case broken:
		record.printf("result: broken")
		os.Exit(1)
	}
	record.printf("result: held")
}
