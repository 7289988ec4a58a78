// Command rwctl is a read-only tool for operators. It checks record files and
// configurations of the front router before they are published, shows the state of a
// router, and explains from logs what happened to a request.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"redwingworks.example/cmd/rwctl/internal/rwrecordcheck"
	"redwingworks.example/cmd/rwctl/internal/rwstate"
	"redwingworks.example/cmd/rwctl/internal/rwstateprinter"
	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwplatformclient"
	"redwingworks.example/internal/rwtimeline"
)

// responseTimeout bounds a request to a router or the platform.
const responseTimeout = 5 * time.Second

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := command().ExecuteContext(ctx)
	stop()
	if status := exitStatus(err); status != 0 {
		os.Exit(status)
	}
}

func command() *cobra.Command {
	c := &cobra.Command{Use: "rwctl", Short: "Read-only command for operators", SilenceUsage: true}
	c.AddCommand(check(), config(), view(), follow(), explain())
	return c
}

// explain writes the timeline of a request from log files, or from standard
// input if no file is named.
func explain() *cobra.Command {
	return &cobra.Command{
		Use:   "explain ID [FILE…]",
		Short: "Explain from routers' logs what happened to a request and why",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			timeline := rwtimeline.New(args[0])
			if len(args) == 1 {
				if err := timeline.Read(c.InOrStdin()); err != nil {
					return err
				}
			}
			for _, name := range args[1:] {
				if err := readLog(timeline, name); err != nil {
					return err
				}
			}
			return timeline.Write(c.OutOrStdout())
		},
	}
}

func readLog(timeline *rwtimeline.Timeline, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return rwfault.Wrap(rwcode.SettingsInvalid, err)
	}
	defer func() { _ = f.Close() }()
	return timeline.Read(f)
}

func check() *cobra.Command {
	var platform string
	c := &cobra.Command{
		Use:   "check FILE…",
		Short: "Check record files before they are published",
		Args:  cobra.MinimumNArgs(1),
	}
	c.Flags().StringVar(&platform, "platform", "", "base URL of the platform service, with a final slash; the files are checked together with its records")
	c.RunE = func(c *cobra.Command, files []string) error {
		checker := rwrecordcheck.New()
		if platform != "" {
			ctx, stop := context.WithTimeout(c.Context(), responseTimeout)
			defer stop()
			items, err := rwplatformclient.New(platform, &http.Client{}).Read(ctx)
			if err != nil {
				return err
			}
			checker.AddPublished(items)
		}
		for _, name := range files {
			data, err := os.ReadFile(name)
			if err != nil {
				return rwfault.Wrap(rwcode.RecordInvalid, err)
			}
			checker.AddFile(name, data)
		}
		return report(c, checker)
	}
	return c
}

// report writes the findings and their number. It fails if routers would not
// accept all records, or if records conflict with each other.
func report(c *cobra.Command, checker *rwrecordcheck.Checker) error {
	faults, warnings := 0, 0
	for _, f := range checker.Findings() {
		_, _ = fmt.Fprintln(c.OutOrStdout(), f)
		if f.Warning {
			warnings++
		} else {
			faults++
		}
	}
	_, _ = fmt.Fprintf(c.OutOrStdout(), "%d files, %d records, %d faults, %d warnings\n", checker.Files(), checker.Records(), faults, warnings)
	if faults > 0 {
		return rwfault.New(rwcode.RecordInvalid, "records have faults and must not be published")
	}
	return nil
}

func view() *cobra.Command {
	return &cobra.Command{
		Use:   "view ADDR",
		Short: "Show the state of the router with this operations address",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return printState(c, new(rwstateprinter.Printer), args[0])
		},
	}
}

func printState(c *cobra.Command, s *rwstateprinter.Printer, addr string) error {
	ctx, stop := context.WithTimeout(c.Context(), responseTimeout)
	defer stop()
	state, err := rwstate.Read(ctx, addr)
	if err != nil {
		return err
	}
	return s.Write(c.OutOrStdout(), state)
}

func follow() *cobra.Command {
	interval, count := 2*time.Second, 0
	c := &cobra.Command{
		Use:   "follow ADDR",
		Short: "Show the state of a router repeatedly",
		Args:  cobra.ExactArgs(1),
	}
	c.Flags().DurationVar(&interval, "interval", interval, "time between two views")
	c.Flags().IntVar(&count, "count", count, "number of views; 0 repeats until interrupted")
	c.RunE = func(c *cobra.Command, args []string) error {
		if interval <= 0 {
			return rwfault.New(rwcode.SettingsInvalid, "interval must be positive")
		}
		var s rwstateprinter.Printer
		for n := 1; ; n++ {
			_, _ = fmt.Fprintf(c.OutOrStdout(), "--- %s\n", time.Now().UTC().Format(time.RFC3339))
			// Continue after an error: the router may respond again later.
			if err := printState(c, &s, args[0]); err != nil {
				_, _ = fmt.Fprintln(c.OutOrStdout(), err)
			}
			if n == count {
				return nil
			}
			select {
			case <-c.Context().Done():
				return nil
			case <-time.After(interval):
			}
		}
	}
	return c
}
