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
	var listen string
	var prefill, loadLag time.Duration
	var fence bool
	slots, step, cached := 8, 20*time.Millisecond, 64
	c := &cobra.Command{Use: "rwengine", Short: "Model engine stand-in", SilenceUsage: true}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "address to listen on")
	c.Flags().String("name", "engine", "name of this engine, for process lists")
	c.Flags().IntVar(&slots, "slots", slots, "maximum number of requests in the batch")
	c.Flags().DurationVar(&step, "step", step, "time between tokens")
	c.Flags().DurationVar(&prefill, "prefill", 0, "time to the first token when the prompt is not cached")
	c.Flags().IntVar(&cached, "cache", cached, "prompt prefixes kept in the cache")
	c.Flags().DurationVar(&loadLag, "load-lag", time.Second, "age of the load reported by GET /load")
	c.Flags().BoolVar(&fence, "fence", false, "refuse orders with a fencing number below the highest seen")
	c.RunE = func(*cobra.Command, []string) error {
		batch := rwbatch.New(slots, step, cached)
		batch.Prefill, batch.LoadLag, batch.Fence = prefill, loadLag, fence
		go batch.Run()
		s := &http.Server{Addr: listen, Handler: batch.Handler(), ReadHeaderTimeout: headerTimeout}
		return s.ListenAndServe()
	}
	return c
}
