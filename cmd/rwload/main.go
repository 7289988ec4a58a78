// Command rwload sends a seeded workload to routers, checks every response and
// prints a report.
package main

import (
	"context"
	"encoding/json"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/test/rwbalancer"
	"redwingworks.example/test/rwcaller"
	"redwingworks.example/test/rwflow"
	"redwingworks.example/test/rwjob"
	"redwingworks.example/test/rwreport"
	"redwingworks.example/test/rwverdict"
	"redwingworks.example/test/rwworkload"
)

const (
	maxDuration = 10 * time.Minute
	// completionTimeout bounds the wait for running requests after the last one
	// was sent.
	completionTimeout = 30 * time.Second
)

type options struct {
	routers        []string
	balancing      string
	detectionDelay time.Duration
	duration       time.Duration
	seed           uint64
	flows          string
	retries        int
	json           bool
}

func main() {
	if err := command().Execute(); err != nil {
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var o options
	c := &cobra.Command{Use: "rwload", Short: "Send a seeded load and check the responses", SilenceUsage: true}
	f := c.Flags()
	f.StringSliceVar(&o.routers, "routers", nil, "callers' addresses of the routers")
	f.StringVar(&o.balancing, "balance", "spread", "spread, or account to send all requests of an account to one router")
	f.DurationVar(&o.detectionDelay, "notice", time.Second, "time until the balancer reacts to a change of /readyz")
	f.DurationVar(&o.duration, "duration", 10*time.Second, "time in which requests are sent")
	f.Uint64Var(&o.seed, "seed", 1, "seed of arrivals, lengths and prompts")
	f.StringVar(&o.flows, "flows", "", "file with a JSON list of flows: Account, CallerKey, Kind, Pool, Engine, Waiting or Rate, MinTokens, MaxTokens, Prompts, Keyed, Hints, Deadline (ns)")
	f.IntVar(&o.retries, "repeats", 5, "retries of a keyed request with an unknown outcome")
	f.BoolVar(&o.json, "json", false, "print JSON in place of a table")
	c.RunE = func(*cobra.Command, []string) error { return o.run() }
	return c
}

func (o *options) run() error {
	flows, err := o.readFlows()
	if err != nil {
		return err
	}
	stop, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	ctx, cancel := context.WithTimeout(stop, o.duration+completionTimeout)
	defer cancel()
	report := o.sendLoad(ctx, flows)
	write := report.WriteTable
	if o.json {
		write = report.WriteJSON
	}
	if err := write(os.Stdout); err != nil {
		return rwfault.Wrap(rwcode.Internal, err)
	}
	if n := report.Count(rwverdict.Wrong); n > 0 {
		return rwfault.New(rwcode.UpstreamMismatch, strconv.Itoa(n)+" wrong answers")
	}
	return nil
}

func (o *options) readFlows() ([]rwflow.Flow, error) {
	if len(o.routers) == 0 || o.balancing != "spread" && o.balancing != "account" || o.duration > maxDuration {
		return nil, rwfault.New(rwcode.SettingsInvalid, "at least one router, a balance of spread or account, and a duration of at most "+maxDuration.String()+" are required")
	}
	data, err := os.ReadFile(o.flows)
	if err != nil {
		return nil, rwfault.Wrap(rwcode.SettingsInvalid, err)
	}
	var flows []rwflow.Flow
	if err := json.Unmarshal(data, &flows); err != nil {
		return nil, rwfault.Wrap(rwcode.SettingsInvalid, err)
	}
	return flows, nil
}

func (o *options) sendLoad(ctx context.Context, flows []rwflow.Flow) *rwreport.Report {
	balancer := rwbalancer.New(o.routers, o.balancing == "account", o.detectionDelay)
	polling, stop := context.WithCancel(ctx)
	defer stop()
	go balancer.Run(polling)
	caller := rwcaller.New(balancer.Pick, o.retries)
	defer caller.Close()
	report := rwreport.New()
	w := &rwworkload.Workload{
		Seed:  o.seed,
		Name:  "load-" + strconv.FormatInt(time.Now().UnixMicro(), 36),
		Flows: flows,
		Send: func(ctx context.Context, j rwjob.Job) bool {
			a := caller.Send(ctx, j)
			report.Add(j, a)
			return a.Verdict == rwverdict.Complete
		},
	}
	w.Run(ctx, o.duration)
	return report
}
