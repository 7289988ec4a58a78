// Command standin plays the cases of the review: it holds the stand-ins for the
// platform, the servers and the clients, and starts rwfront as separate processes.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The results of a case.
const (
	held   = 0
	broken = 1
	unable = 2
)

// cases holds the cases by name.
var cases = map[string]func(){}

var (
	recordMu   sync.Mutex
	recordFile *os.File
	begin      = time.Now()
	cleanUps   []func()
)

// record writes a line to the record of the run, record.txt beside the script.
func record(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	if recordFile != nil {
		_, _ = fmt.Fprintf(recordFile, "%8.3f %s\n", time.Since(begin).Seconds(), fmt.Sprintf(format, args...))
	}
}

func onExit(f func()) { cleanUps = append(cleanUps, f) }

// finish ends all processes and exits.
func finish(code int) {
	for _, f := range cleanUps {
		f()
	}
	os.Exit(code)
}

// cannotRun ends the case because it could not be played.
func cannotRun(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	record("the case could not run: %s", text)
	fmt.Println("could not run:", text)
	finish(unable)
}

// conclude writes the result and exits.
func conclude(rule string, isBroken bool, format string, args ...any) {
	verdict, code := "held", held
	if isBroken {
		verdict, code = "BROKEN", broken
	}
	text := fmt.Sprintf("%s %s: %s", rule, verdict, fmt.Sprintf(format, args...))
	record("%s", text)
	fmt.Println(text)
	finish(code)
}

// hasTrouble reports whether to play the disruption.
func hasTrouble() bool { return os.Getenv("TROUBLE") != "0" }

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		var names []string
		for name := range cases {
			names = append(names, name)
		}
		fmt.Println("usage: standin CASE RECORD; cases:", strings.Join(names, " "))
		os.Exit(unable)
	}
	f, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Println(err)
		os.Exit(unable)
	}
	recordFile = f
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-ended
		cannotRun("ended by a signal")
	}()
	time.AfterFunc(115*time.Second, func() { cannotRun("the time is over") })
	cases[os.Args[1]]()
}
