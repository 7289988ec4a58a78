// Command rwplatform is a stand-in for the platform service: published records
// that can be read and watched. Only its /admin paths, which operators and
// tests use, change anything.
package main

import (
	"net/http"
	"os"
	"time"

	"github.com/spf13/cobra"

	"redwingworks.example/cmd/rwplatform/internal/rwrecordserver"
)

const headerTimeout = 5 * time.Second

func main() {
	if err := command().Execute(); err != nil {
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var listen, replica, file string
	c := &cobra.Command{Use: "rwplatform", Short: "Platform service stand-in", SilenceUsage: true}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "address to listen on")
	c.Flags().StringVar(&replica, "replica", "", "address of a second replica, which tests can set stale")
	c.Flags().StringVar(&file, "records", "", "file with a JSON list of records to publish at the start")
	c.RunE = func(*cobra.Command, []string) error {
		b := rwrecordserver.New()
		if file != "" {
			if err := b.Load(file); err != nil {
				return err
			}
		}
		ended := make(chan error, 2)
		go func() { ended <- server(listen, b.Handler(false)).ListenAndServe() }()
		if replica != "" {
			go func() { ended <- server(replica, b.Handler(true)).ListenAndServe() }()
		}
		return <-ended
	}
	return c
}

func server(addr string, h http.Handler) *http.Server {
	return &http.Server{Addr: addr, Handler: h, ReadHeaderTimeout: headerTimeout}
}
