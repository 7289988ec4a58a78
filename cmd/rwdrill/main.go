// Command rwdrill starts a small fleet of real processes on loopback and runs
// demonstrations and experiments against it.
package main

import (
	"os"

	"github.com/spf13/cobra"

	"redwingworks.example/cmd/rwdrill/internal/rwdemo"
)

func main() {
	c := &cobra.Command{Use: "rwdrill", Short: "Demonstrations and experiments", SilenceUsage: true}
	bin := c.PersistentFlags().String("bin", "bin", "folder with the built programs")
	c.AddCommand(&cobra.Command{
		Use:   "demo",
		Short: "Serve a few requests through routers of two zones",
		RunE: func(*cobra.Command, []string) error {
			return rwdemo.New(*bin).Run(os.Stdout)
		},
	})
	if err := c.Execute(); err != nil {
		os.Exit(1)
	}
}
