// Command rwctl is for operators. It only reads: it checks record files before
// they are published, and shows the state of a router.
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

// responseTimeout bounds the wait for a router or the platform.
const responseTimeout = 5 * time.Second

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := command().ExecuteContext(ctx)
	stop()
	if err != nil {
		os.Exit(1)
	}
}

func command() *cobra.Command {
	c := &cobra.Command{Use: "rwctl", Short: "Read-only command for operators", SilenceUsage: true}
	c.AddCommand(check(), view(), follow(), explain())
	return c
}

// explain tells the story of a request from log files, or from standard input
// if none is named.
func explain() *cobra.Command {
	return &cobra.Command{
		Use:   "explain ID [FILE…]",
		Short: "Tell from routers' logs what happened to a request and why",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			story := rwtimeline.New(args[0])
			if len(args) == 1 {
				if err := story.Read(c.InOrStdin()); err != nil {
					return err
				}
			}
			for _, name := range args[1:] {
				if err := readLog(story, name); err != nil {
					return err
				}
			}
			return story.Write(c.OutOrStdout())
		},
	}
}

func readLog(story *rwtimeline.Timeline, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return rwfault.Wrap(rwcode.SettingsInvalid, err)
	}
	defer func() { _ = f.Close() }()
	return story.Read(f)
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
		all := rwrecordcheck.New()
		if platform != "" {
			ctx, stop := context.WithTimeout(c.Context(), responseTimeout)
			defer stop()
			items, err := rwplatformclient.New(platform, &http.Client{}).Read(ctx)
			if err != nil {
				return err
			}
			all.AddPublished(items)
		}
		for _, name := range files {
			data, err := os.ReadFile(name)
			if err != nil {
				return rwfault.Wrap(rwcode.RecordInvalid, err)
			}
			all.AddFile(name, data)
		}
		return report(c, all)
	}
	return c
}

// report writes the findings. It fails if routers would not accept all
// records, or if records contradict each other.
func report(c *cobra.Command, all *rwrecordcheck.Checker) error {
	faults, warnings := 0, 0
	for _, f := range all.Findings() {
		_, _ = fmt.Fprintln(c.OutOrStdout(), f)
		if f.Warning {
			warnings++
		} else {
			faults++
		}
	}
	_, _ = fmt.Fprintf(c.OutOrStdout(), "%d files, %d records, %d faults, %d warnings\n", all.Files(), all.Records(), faults, warnings)
	if faults > 0 {
		return rwfault.New(rwcode.RecordInvalid, "do not publish these records")
	}
	return nil
}

func view() *cobra.Command {
	return &cobra.Command{
		Use:   "view ADDR",
		Short: "Show the state of the router with this address for operators",
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
		Short: "Show the state of a router again and again",
		Args:  cobra.ExactArgs(1),
	}
	c.Flags().DurationVar(&interval, "interval", interval, "time between two views")
	c.Flags().IntVar(&count, "count", count, "number of views, 0 for no end")
	c.RunE = func(c *cobra.Command, args []string) error {
		if interval <= 0 {
			return rwfault.New(rwcode.SettingsInvalid, "interval must be positive")
		}
		var s rwstateprinter.Printer
		for n := 1; ; n++ {
			_, _ = fmt.Fprintf(c.OutOrStdout(), "--- %s\n", time.Now().UTC().Format(time.RFC3339))
			// A router that does not answer now may answer later.
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
