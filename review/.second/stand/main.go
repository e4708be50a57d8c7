// Command stand runs the scripted cases of the second review: a small deployment on loopback with small stand-ins.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxTime is the time after which a case ends its processes, whatever it has seen.
const maxTime = 110 * time.Second

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// cases holds the cases by name. Each returns whether the rule was broken; trouble is false if the disruption is left out.
var cases = map[string]func(r *rig, trouble bool) (broken bool, err error){
	"broken_off": brokenOff,
	"copies":     copies,
	"removed":    removed,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: CASE RECORD")
		os.Exit(notRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func run(name, recordFile string, trouble bool) int {
	r, err := newRig(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer r.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	r.tasks.Go(func() error {
		select {
		case <-signals:
		case <-time.After(maxTime):
		}
		fmt.Fprintln(os.Stderr, "the case was ended before its time")
		r.close()
		os.Exit(notRun)
		return nil
	})
	broken, err := cases[name](r, trouble)
	switch {
	case err != nil:
		r.record.write("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return notRun
	case broken:
		r.record.write("the rule was broken")
		return ruleBroken
	}
	r.record.write("the rule held")
	return ruleHeld
}
