// Package rwserver serves HTTP/1.1 and HTTP/2 and shuts down gracefully.
package rwserver

import (
	"context"
	"net"
	"net/http"
)

// Server is an http.Server.
type Server struct {
	inner *http.Server
}

// New returns a server that is not serving yet. The http.Server must not be used
// otherwise.
func New(inner *http.Server) *Server { return &Server{inner: inner} }

// Serve serves on a listener, with TLS if the server has a TLS configuration.
// It returns http.ErrServerClosed once Shutdown or Close has been called.
func (s *Server) Serve(l net.Listener) error {
	if s.inner.TLSConfig != nil {
		return s.inner.ServeTLS(l, "", "")
	}
	return s.inner.Serve(l)
}

// Shutdown stops accepting connections and returns once all connections have
// ended, or with an error if the context ends first.
func (s *Server) Shutdown(ctx context.Context) error { return s.inner.Shutdown(ctx) }

// Close closes all connections at once.
func (s *Server) Close() error { return s.inner.Close() }
