// Package rwregistry registers the services of a process by name and runs and
// stops them together.
package rwregistry

import (
	"context"

	"github.com/oklog/run"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
)

// Registry is a registry of services. All services must be registered before
// Run.
type Registry struct {
	services map[string]any
	group    run.Group
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{services: map[string]any{}}
}

// Register adds a service under a name. The run function may be nil. It must
// return soon after its context ends; when one returns, all are stopped.
func (k *Registry) Register(name string, service any, run func(context.Context) error) {
	k.services[name] = service
	if run == nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	k.group.Add(
		func() error { return run(ctx) },
		func(error) { cancel() },
	)
}

// Find returns the service with a name. It fails with ServiceMissing if there is
// none or if it has another type.
func Find[T any](k *Registry, name string) (T, error) {
	s, ok := k.services[name].(T)
	if !ok {
		return s, rwfault.New(rwcode.ServiceMissing, name)
	}
	return s, nil
}

// Run runs all services until one returns, stops the others and returns the
// first one's error.
func (k *Registry) Run() error { return k.group.Run() }
