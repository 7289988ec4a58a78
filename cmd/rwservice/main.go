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
	s := &rwplainservice.Service{}
	c := &cobra.Command{Use: "rwservice", Short: "Plain service stand-in", SilenceUsage: true}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "address to listen on")
	c.Flags().DurationVar(&s.Delay, "delay", 5*time.Millisecond, "time that a call takes")
	c.Flags().BoolVar(&s.Fence, "fence", false, "refuse calls with a fencing number below the highest seen")
	c.RunE = func(*cobra.Command, []string) error {
		h := &http.Server{Addr: listen, Handler: s.Handler(), ReadHeaderTimeout: headerTimeout}
		return h.ListenAndServe()
	}
	return c
}
