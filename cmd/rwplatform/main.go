// Command rwplatform is a stand-in for the platform service: it serves reads and
// watches of published records. While it runs, records and behaviour are changed
// only through its /admin paths, which operators and tests use.
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
	c.Flags().StringVar(&replica, "replica", "", "address of a second replica, which tests can make stale")
	c.Flags().StringVar(&file, "records", "", "file with a JSON list of records to publish at the start")
	c.RunE = func(*cobra.Command, []string) error {
		records := rwrecordserver.New()
		if file != "" {
			if err := records.Load(file); err != nil {
				return err
			}
		}
		failed := make(chan error, 2)
		go func() { failed <- server(listen, records.Handler(false)).ListenAndServe() }()
		if replica != "" {
			go func() { failed <- server(replica, records.Handler(true)).ListenAndServe() }()
		}
		return <-failed
	}
	return c
}

func server(addr string, h http.Handler) *http.Server {
	return &http.Server{Addr: addr, Handler: h, ReadHeaderTimeout: headerTimeout}
}
