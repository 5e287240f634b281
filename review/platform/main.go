package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

var scenarios = map[string]func(*fleet) (broken bool, summary string){
	"order":   playOrder,
	"limit":   playLimit,
	"brittle": playBrittle,
	"denied":  playDenied,
	"part":    playPart,
	"step":    playStep,
}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: platform SCENARIO RECORD")
		os.Exit(codeNotRun)
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		cannotRun("folder: %v", err)
	}
	if os.Getenv("KEEP") == "" {
		atEnd(func() { _ = os.RemoveAll(folder) })
	} else {
		fmt.Println(folder)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() { <-signals; finish(codeNotRun) }()
	time.AfterFunc(110*time.Second, func() { cannotRun("the script takes too long") })
	fleet := newFleet(folder, os.Args[2], os.Getenv("TROUBLE") != "0")
	broken, summary := scenarios[os.Args[1]](fleet)
	fleet.record.add("%s", summary)
	fmt.Println(summary)
	if broken {
		fleet.record.add("the rule is broken")
		finish(codeBroken)
	}
	fleet.record.add("the rule held")
	finish(codeHeld)
}
