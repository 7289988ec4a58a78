// Command rwfront is the router on the users' platform: it accepts callers'
// requests and forwards them to upstreams by the published routes, in
// cooperation with the other routers of the fleet.
package main

import (
	"os"

	"github.com/spf13/cobra"

	"redwingworks.example/internal/rwedge"
	"redwingworks.example/internal/rwlog"
	"redwingworks.example/platform/rwadapter"
	"redwingworks.example/platform/rwsettingsfile"
)

// keyVariable is the environment variable with the key by which routers
// authenticate each other.
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
		RunE: func(*cobra.Command, []string) error {
			config, err := load(path)
			if err != nil {
				return err
			}
			return rwedge.New(config).Run()
		},
	}
	c.PersistentFlags().StringVar(&path, "settings", os.Getenv(rwsettingsfile.PathVariable), "settings file of the platform")
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

// load reads the settings file and logs the error if it is invalid.
func load(path string) (rwedge.Config, error) {
	config, err := rwadapter.Config(path, os.Getenv(keyVariable), os.Stdout)
	if err != nil {
		log := rwlog.New(os.Stdout, "rwfront")
		rwlog.Warn(&log, rwlog.SettingsInvalid, err).Send()
	}
	return config, err
}
