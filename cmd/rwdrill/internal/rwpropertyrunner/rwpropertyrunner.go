// Package rwpropertyrunner runs the tests of the system's properties and prints
// which properties held.
package rwpropertyrunner

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strconv"
	"time"

	"redwingworks.example/cmd/rwdrill/internal/rwpropertytest"
	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
)

const (
	module = "redwingworks.example/"
	// fleetTests is a package whose tests need the built programs in the folder
	// bin.
	fleetTests  = module + "test/rwproperty"
	testTimeout = 3 * time.Minute
	// maxOutputBytes bounds the printed output of a failed test.
	maxOutputBytes = 8 << 10
)

// Table lists the properties and the tests that try to break them. Each
// property has at least one entry.
var Table = []rwpropertytest.Entry{
	{Property: "P1 fair", Package: module + "test/rwbubble", Test: "TestFairAcrossRouters"},
	{Property: "P1 fair", Package: module + "test/rwbubble", Test: "TestFairWithUnequalShares"},
	{Property: "P1 fair", Package: module + "test/rwbubble", Test: "TestZoneCutAndRejoin"},
	{Property: "P1 fair", Package: module + "internal/rwsched", Test: "TestGapStaysWithinBound", Race: true},
	{Property: "P1 fair", Package: module + "internal/rwsched", Test: "TestGapWithCellCutOff", Race: true},
	{Property: "P1 fair", Package: module + "internal/rwsched", Test: "TestGapWithOwnersThatRestart", Race: true},
	{Property: "P1 fair", Package: module + "internal/rwsched", Test: "TestGapInRandomPools", Race: true},
	{Property: "P2 live", Package: module + "test/rwbubble", Test: "TestFloods"},
	{Property: "P2 live", Package: module + "internal/rwsched", Test: "TestFloodLeavesOthersTheirService", Race: true},
	{Property: "P3 whole", Package: fleetTests, Test: "TestDamagedStreamsNeverLookWhole", Seeded: true},
	{Property: "P3 whole", Package: module + "internal/rwgate", Test: "TestBrokenStreamNeverLooksWhole", Race: true},
	{Property: "P3 whole", Package: module + "internal/rwstream", Test: "TestEvents", Race: true},
	{Property: "P4 notrun", Package: fleetTests, Test: "TestOrdersRunAtMostOnce", Seeded: true},
	{Property: "P2 live", Package: module + "test/rwlive", Test: "TestFloodBesideAnotherFault"},
	{Property: "P3 whole", Package: module + "test/rwtruth", Test: "TestUpstreamFaults"},
	{Property: "P4 notrun", Package: module + "test/rwtruth", Test: "TestRouterFaults"},
	{Property: "P4 notrun", Package: module + "test/rwtruth", Test: "TestFullQueue"},
	{Property: "P4 notrun", Package: module + "internal/rwdispatch", Test: "TestConnectionRefusedIsNotRun", Race: true},
	{Property: "P4 notrun", Package: module + "internal/rwentry", Test: "TestOutcomeCoversAllAttempts", Race: true},
	{Property: "P5 once", Package: fleetTests, Test: "TestOrdersRunAtMostOnce", Seeded: true},
	{Property: "P5 once", Package: fleetTests, Test: "TestFencedServiceServesEveryHome", Seeded: true},
	{Property: "P5 once", Package: module + "test/rwkeys", Test: "TestHomeKilledDuringCall"},
	{Property: "P5 once", Package: module + "test/rwkeys", Test: "TestHomeFrozenOverListChange"},
	{Property: "P5 once", Package: module + "test/rwkeys", Test: "TestHomeFrozenBetweenTraceAndSending"},
	{Property: "P5 once", Package: module + "test/rwkeys", Test: "TestHomeRestartsWithoutMemory"},
	{Property: "P5 once", Package: module + "test/rwkeys", Test: "TestRollingRestart"},
	{Property: "P5 once", Package: module + "internal/rwonce", Test: "TestExploration", Race: true},
	{Property: "P5 once", Package: module + "internal/rwdispatch", Test: "TestTransportDoesNotSendAgain", Race: true},
	{Property: "P5 once", Package: module + "internal/rwentry", Test: "TestNonIdempotentIsSentOnce", Race: true},
	{Property: "P6 leaving", Package: fleetTests, Test: "TestLeavingEngineGetsNoNewWork", Seeded: true},
	{Property: "P6 leaving", Package: module + "test/rwleaving", Test: "TestPublishedLeaving"},
	{Property: "P6 leaving", Package: module + "test/rwleaving", Test: "TestEngineRefusesAsLeaving"},
	{Property: "P7 drain", Package: module + "test/rwdrain", Test: "TestRollingReplacement"},
	{Property: "P7 drain", Package: module + "test/rwdrain", Test: "TestShutdownBesideAnotherFault"},
	{Property: "P7 drain", Package: module + "test/rwdrain", Test: "TestLoneRouterServesItsQueue"},
	{Property: "P7 drain", Package: fleetTests, Test: "TestShutdownInterruptsNothing", Seeded: true},
	{Property: "P7 drain", Package: fleetTests, Test: "TestShutdownLosesNoOrder", Seeded: true},
	{Property: "P7 drain", Package: fleetTests, Test: "TestShutdownOfZoneLosesNoOrder", Seeded: true},
	{Property: "P8 config", Package: fleetTests, Test: "TestConfigurationNeverReverts", Seeded: true},
	{Property: "P8 config", Package: fleetTests, Test: "TestSchemasMoveUnderLoad", Seeded: true},
	{Property: "P8 config", Package: module + "test/rwfleet", Test: "TestConfigurationInForce"},
	{Property: "P8 config", Package: module + "internal/rwstore", Test: "TestNeverReverts", Race: true},
	{Property: "P6 leaving", Package: module + "test/rwleaving", Test: "TestPublishedLeaving"},
	{Property: "P6 leaving", Package: module + "test/rwleaving", Test: "TestEngineRefusesAsLeaving"},
	{Property: "P7 drain", Package: module + "test/rwdrain", Test: "TestRollingReplacement"},
	{Property: "P7 drain", Package: module + "test/rwdrain", Test: "TestShutdownBesideAnotherFault"},
	{Property: "P7 drain", Package: module + "test/rwdrain", Test: "TestLoneRouterServesItsQueue"},
}

// Runner runs the tests of a table. Its fields must be set before Run.
type Runner struct {
	// Table is the list of tests.
	Table []rwpropertytest.Entry
	// Seed is passed to RunTest for every test. Only Seeded tests use it.
	Seed uint64
	// RunTest runs one test and returns the output of go test -json.
	RunTest func(ctx context.Context, p rwpropertytest.Entry, seed uint64) []byte
}

// New returns a runner for Table.
func New(seed uint64) *Runner {
	return &Runner{Table: Table, Seed: seed, RunTest: goTest}
}

// Run runs each test and writes a line with its result. It fails if a test broke
// its property, but not if a property was not proved.
func (p *Runner) Run(ctx context.Context, w io.Writer) error {
	broken := 0
	for _, entry := range p.Table {
		if ctx.Err() != nil {
			return rwfault.Wrap(rwcode.Internal, ctx.Err())
		}
		if entry.Test == "" {
			_, _ = fmt.Fprintf(w, "%s: not proved (no test)\n", entry.Property)
			continue
		}
		output := p.RunTest(ctx, entry, p.Seed)
		verdict := verdictOf(output, entry.Test)
		_, _ = fmt.Fprintf(w, "%s: %s %s %s seed=%s\n", entry.Property, verdict, entry.Package, entry.Test, p.seedOf(entry))
		if verdict != verdictHeld {
			_, _ = w.Write(tailOfOutput(output))
		}
		if verdict == verdictBroken {
			broken++
		}
	}
	if broken > 0 {
		return rwfault.New(rwcode.Internal, strconv.Itoa(broken)+" tests broke their property")
	}
	return nil
}

func (p *Runner) seedOf(entry rwpropertytest.Entry) string {
	if entry.Seeded {
		return strconv.FormatUint(p.Seed, 10)
	}
	return "fixed"
}

func goTest(ctx context.Context, p rwpropertytest.Entry, seed uint64) []byte {
	limit, cancel := context.WithTimeout(ctx, testTimeout)
	defer cancel()
	args := []string{"test", "-json", "-count=1", "-run", "^" + p.Test + "$"}
	if p.Race {
		args = append(args, "-race")
	}
	c := exec.CommandContext(limit, "go", append(args, p.Package)...)
	c.Env = append(os.Environ(), "REDWING_SEED="+strconv.FormatUint(seed, 10))
	output, err := c.CombinedOutput()
	if err != nil {
		output = append(output, "\n"+err.Error()+"\n"...)
	}
	return output
}

const (
	verdictHeld      = "held"
	verdictBroken    = "broken"
	verdictNotProved = "not proved"
)

type event struct {
	Action, Test, Output string
}

func events(output []byte) []event {
	var out []event
	for line := range bytes.Lines(output) {
		var e event
		if json.Unmarshal(line, &e) != nil {
			// A failed build prints plain text.
			e.Output = string(line)
		}
		out = append(out, e)
	}
	return out
}

// verdictOf returns verdictHeld only if the test itself ran and passed, since go
// test also succeeds if no test has the name. A test that was skipped, was not
// built or did not end proves nothing. A panic is reported as a failure of the
// package and not of the test.
func verdictOf(output []byte, test string) string {
	verdict, started, failed := verdictNotProved, false, false
	for _, e := range events(output) {
		switch {
		case e.Test == test && e.Action == "run":
			started = true
		case e.Test == test && e.Action == "pass":
			verdict = verdictHeld
		case e.Action == "fail":
			failed = true
		}
	}
	if started && failed {
		return verdictBroken
	}
	if failed {
		return verdictNotProved
	}
	return verdict
}

// tailOfOutput returns the end of the test's text output.
func tailOfOutput(output []byte) []byte {
	var out bytes.Buffer
	for _, e := range events(output) {
		out.WriteString(e.Output)
	}
	b := out.Bytes()
	return b[max(0, len(b)-maxOutputBytes):]
}
