package rwfront

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwconfigsnapshot"
	"redwingworks.example/internal/rwrouteconfig"
)

// Guards against requests that run with a withdrawn key, an unknown one or none once
// the last key of all accounts was withdrawn, and against refusals on public routes or
// without accounts.
func TestLastKeyIsWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := serve(t, map[string]http.HandlerFunc{"a": respond(200, "a")})
		before := f.front.Published()
		services := []rwrouteconfig.Service{{Name: "plain"}}
		open := rwrouteconfig.New(2, rwrouteconfig.Limits{}, routes(), services, nil)
		withdrawn := open.WithKeysRequired()
		for _, c := range []struct {
			config *rwrouteconfig.Config
			path   string
			want   int
		}{
			{withdrawn, "/safe/x", http.StatusUnauthorized}, {withdrawn, "/unsafe/x", http.StatusUnauthorized},
			{withdrawn, "/open/x", http.StatusOK}, {open, "/safe/x", http.StatusOK},
		} {
			snapshot := rwconfigsnapshot.New(c.config, 2, time.Now(), before.Usable("plain"))
			f.front.Published = func() *rwconfigsnapshot.Snapshot { return snapshot }
			for _, key := range []string{"key", "unknown", ""} {
				status, _, _, err := f.send(t, c.path, "X-Key", key)
				require.NoError(t, err)
				require.Equal(t, c.want, status, "%s with key %q", c.path, key)
			}
		}
	})
}
