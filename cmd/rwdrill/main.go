// Command rwdrill starts a small fleet of processes on loopback and runs a demo and
// measurements on it. It also runs the tests of the system's properties.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"redwingworks.example/cmd/rwdrill/internal/rwdemo"
	"redwingworks.example/cmd/rwdrill/internal/rwmeasurement"
	"redwingworks.example/cmd/rwdrill/internal/rwpropertyrunner"
)

func main() {
	c := &cobra.Command{Use: "rwdrill", Short: "Demo, measurements and property tests", SilenceUsage: true}
	bin := c.PersistentFlags().String("bin", "bin", "directory with the built programs")
	c.AddCommand(&cobra.Command{
		Use:   "demo",
		Short: "Serve a few requests through routers of two zones",
		RunE: func(*cobra.Command, []string) error {
			return rwdemo.New(*bin).Run(os.Stdout)
		},
	})
	c.AddCommand(measure(bin), prove())
	if err := c.Execute(); err != nil {
		os.Exit(1)
	}
}

func measure(bin *string) *cobra.Command {
	var only, policies []string
	c := &cobra.Command{
		Use:   "measure",
		Short: "Measure the fleet policy and the baseline",
		RunE: func(*cobra.Command, []string) error {
			ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
			defer cancel()
			m := rwmeasurement.New(*bin, os.Stderr)
			m.Scenarios, m.Policies = only, policies
			return m.Run(ctx, os.Stdout)
		},
	}
	c.Flags().StringSliceVar(&policies, "policy", nil, "run only this policy: fleet, or local for the baseline")
	c.Flags().StringSliceVar(&only, "only", nil, "run only these scenarios: quiet, shares, flood, cut")
	return c
}

func prove() *cobra.Command {
	seed := uint64(1)
	c := &cobra.Command{
		Use:   "prove",
		Short: "Run the tests of the properties that must always hold",
		RunE: func(*cobra.Command, []string) error {
			ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
			defer cancel()
			return rwpropertyrunner.New(seed).Run(ctx, os.Stdout)
		},
	}
	c.Flags().Uint64Var(&seed, "seed", seed, "seed for the tests that take one")
	return c
}
