// Command review plays the cases of the review: it starts hosts as processes against stand-ins of the platform's store,
// backend servers and clients, and checks one rule of the users' pages. review/build.sh builds it.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseLimit bounds the time of one case.
const caseLimit = 110 * time.Second

// cases holds the cases by name.
var cases = map[string]func(*rig) (verdict, error){
	"cut-copy":     playCutCopy,
	"failed-503":   playFailed503,
	"multipart":    playMultipart,
	"lost-answers": playLostAnswers,
	"lone-hosts":   playLoneHosts,
}

// verdict is the outcome of a case.
type verdict struct {
	broken bool
	text   string
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// play runs a case, writes its record and returns the exit code.
func play(run func(*rig) (verdict, error), file string) int {
	record, err := newRecord(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.close()
	r, err := newRig(record)
	if err != nil {
		record.writef("not run: %v", err)
		return exitNotRun
	}
	defer r.close()
	// A case that takes too long, or is stopped from outside, also ends its processes.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	stopWatchdog := time.AfterFunc(caseLimit, func() { signals <- syscall.SIGTERM })
	defer stopWatchdog.Stop()
	r.tasks.Go(func() error {
		select {
		case <-r.done:
			return nil
		case <-signals:
		}
		r.killHosts()
		record.writef("not run: stopped")
		record.close()
		os.Exit(exitNotRun)
		return nil
	})
	record.writef("disruption: %t", r.trouble)
	v, err := run(r)
	switch {
	case err != nil:
		record.writef("not run: %v", err)
		fmt.Fprintln(os.Stderr, "not run:", err)
		return exitNotRun
	case v.broken:
		record.writef("broken: %s", v.text)
		fmt.Println("broken:", v.text)
		return exitBroken
	default:
		record.writef("held: %s", v.text)
		fmt.Println("held:", v.text)
		return exitHeld
	}
}

// waitUntil waits until done reports true, and returns an error if it does not within the limit.
func waitUntil(what string, limit time.Duration, done func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if done() {
			return nil
		}
	}
	return fmt.Errorf("%s: not within %v", what, limit)
}
