// Command rwplatform is a stand-in for the platform service: published records
// that can be read and watched. Only its /admin paths, which operators and
// tests use, change anything.
package main

import (
	"net/http"
	"os"
	"time"

	"github.com/spf13/cobra"

	"redwingworks.example/cmd/rwplatform/internal/rwboard"
)

const headerTimeout = 5 * time.Second

func main() {
	if err := command().Execute(); err != nil {
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var listen, file string
	c := &cobra.Command{Use: "rwplatform", Short: "Platform service stand-in", SilenceUsage: true}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "address to listen on")
	c.Flags().StringVar(&file, "records", "", "file with a JSON list of records to publish at the start")
	c.RunE = func(*cobra.Command, []string) error {
		b := rwboard.New()
		if file != "" {
			if err := b.Load(file); err != nil {
				return err
			}
		}
		s := &http.Server{Addr: listen, Handler: b.Handler(), ReadHeaderTimeout: headerTimeout}
		return s.ListenAndServe()
	}
	return c
}
