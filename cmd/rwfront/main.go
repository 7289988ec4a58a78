// Command rwfront is the router on the users' platform: it takes callers'
// requests and forwards them to upstreams by published routes, together with
// the other routers of the fleet.
package main

import (
	"os"

	"github.com/spf13/cobra"

	"redwingworks.example/internal/rwdeployment"
	"redwingworks.example/internal/rwedge"
	"redwingworks.example/internal/rwlog"
	"redwingworks.example/platform/rwfeed"
	"redwingworks.example/platform/rwsite"
	"redwingworks.example/platform/rwwire"
)

// keyVariable is the environment variable with the key that routers
// authenticate each other by.
const keyVariable = "REDWING_KEY"

func main() {
	if err := command().Execute(); err != nil {
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var path string
	c := &cobra.Command{
		Use:           "rwfront",
		Short:         "Front router of the redwingworks fleet on the users' platform",
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(*cobra.Command, []string) error { return run(path) },
	}
	c.PersistentFlags().StringVar(&path, "settings", os.Getenv(rwsite.Variable), "settings file of the platform")
	c.AddCommand(&cobra.Command{
		Use:   "check",
		Short: "Check the settings file and exit",
		RunE: func(*cobra.Command, []string) error {
			_, err := load(path)
			return err
		},
	})
	return c
}

// load reads the settings and reports what is wrong with them.
func load(path string) (rwdeployment.Deployment, error) {
	d, err := rwsite.Load(path)
	if err != nil {
		log := rwlog.New(os.Stdout, "rwfront")
		rwlog.Warn(&log, rwlog.SettingsInvalid, err).Send()
	}
	return d, err
}

func run(path string) error {
	d, err := load(path)
	if err != nil {
		return err
	}
	feed := rwfeed.New(d.Store)
	return rwedge.New(rwedge.Config{
		Deployment: d,
		Reload:     func() (rwdeployment.Deployment, error) { return rwsite.Load(path) },
		Dialect:    rwwire.New(),
		Prefixes:   rwfeed.Prefixes(),
		List:       feed.List,
		Watch:      feed.Watch,
		Decode:     rwfeed.Decode,
		Inventory:  rwwire.Inventory(),
		Key:        os.Getenv(keyVariable),
		Out:        os.Stdout,
	}).Run()
}
