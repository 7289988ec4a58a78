// Command rwengine is a stand-in for a model engine: it batches requests
// continuously and streams their tokens as server-sent events.
package main

import (
	"net/http"
	"os"
	"time"

	"github.com/spf13/cobra"

	"redwingworks.example/cmd/rwengine/internal/rwbatch"
)

const headerTimeout = 5 * time.Second

func main() {
	if err := command().Execute(); err != nil {
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var listen, name string
	slots, step := 8, 20*time.Millisecond
	c := &cobra.Command{Use: "rwengine", Short: "Model engine stand-in", SilenceUsage: true}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "address to listen on")
	c.Flags().StringVar(&name, "name", "engine", "name of this engine")
	c.Flags().IntVar(&slots, "slots", slots, "requests in one batch")
	c.Flags().DurationVar(&step, "step", step, "time between tokens")
	c.RunE = func(*cobra.Command, []string) error {
		b := rwbatch.New(name, slots, step)
		go b.Run()
		s := &http.Server{Addr: listen, Handler: b.Handler(), ReadHeaderTimeout: headerTimeout}
		return s.ListenAndServe()
	}
	return c
}
