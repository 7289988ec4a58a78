// Command rwrouter is the router: it accepts callers' requests and runs them on
// upstreams, in cooperation with the other routers of the fleet.
package main

import (
	"os"

	"github.com/spf13/cobra"

	"redwingworks.example/internal/rwlog"
	"redwingworks.example/internal/rwnode"
	"redwingworks.example/internal/rwsettings"
)

func main() {
	if err := command().Execute(); err != nil {
		os.Exit(1)
	}
}

func command() *cobra.Command {
	settings, loadErr := rwsettings.Load()
	c := &cobra.Command{
		Use:           "rwrouter",
		Short:         "Router of the redwingworks fleet",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	settings.Flags(c.Flags())
	c.RunE = func(*cobra.Command, []string) error {
		log := rwlog.New(os.Stderr, "rwrouter").With().Str("router", settings.Name).Logger()
		err := loadErr
		if err == nil {
			err = settings.Check()
		}
		if err != nil {
			rwlog.Warn(&log, rwlog.SettingsInvalid, err).Send()
			return err
		}
		node, err := rwnode.New(settings, log)
		if err != nil {
			rwlog.Warn(&log, rwlog.SettingsInvalid, err).Send()
			return err
		}
		return node.Run()
	}
	return c
}
