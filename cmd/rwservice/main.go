// Command rwservice is a stand-in for a plain service: it logs each execution
// with its idempotency key.
package main

import (
	"net/http"
	"os"
	"time"

	"github.com/spf13/cobra"

	"redwingworks.example/cmd/rwservice/internal/rwplainservice"
)

const headerTimeout = 5 * time.Second

func main() {
	if err := command().Execute(); err != nil {
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var listen string
	service := &rwplainservice.Service{}
	c := &cobra.Command{Use: "rwservice", Short: "Plain service stand-in", SilenceUsage: true}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "address to listen on")
	c.Flags().DurationVar(&service.Delay, "delay", 5*time.Millisecond, "time that a call takes")
	c.Flags().BoolVar(&service.Fence, "fence", false, "refuse calls with a fencing number below the highest seen")
	c.RunE = func(*cobra.Command, []string) error {
		server := &http.Server{Addr: listen, Handler: service.Handler(), ReadHeaderTimeout: headerTimeout}
		return server.ListenAndServe()
	}
	return c
}
