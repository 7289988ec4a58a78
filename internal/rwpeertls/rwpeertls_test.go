package rwpeertls_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwidentity"
	"redwingworks.example/internal/rwmetric"
	"redwingworks.example/internal/rwpeer"
	"redwingworks.example/internal/rwpeertls"
)

const key = "0123456789abcdef"

type authority struct {
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) authority {
	a := authority{dir: t.TempDir()}
	a.cert, a.key = a.issue(t, "authority")
	return a
}

// issue writes a certificate and its key; the first one is self-signed.
func (a authority) issue(t *testing.T, name string) (*x509.Certificate, *ecdsa.PrivateKey) {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	c := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: a.cert == nil, BasicConstraintsValid: true,
	}
	parent, signer := a.cert, a.key
	if parent == nil {
		parent, signer = c, k
	}
	der, err := x509.CreateCertificate(rand.Reader, c, parent, &k.PublicKey, signer)
	require.NoError(t, err)
	raw, err := x509.MarshalECPrivateKey(k)
	require.NoError(t, err)
	a.write(t, name+".pem", "CERTIFICATE", der)
	a.write(t, name+".key", "EC PRIVATE KEY", raw)
	parsed, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	return parsed, k
}

func (a authority) write(t *testing.T, file, kind string, data []byte) {
	block := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data})
	require.NoError(t, os.WriteFile(filepath.Join(a.dir, file), block, 0o600))
}

func (a authority) files(name string) rwpeertls.Files {
	return rwpeertls.Files{
		Cert:      filepath.Join(a.dir, name+".pem"),
		Key:       filepath.Join(a.dir, name+".key"),
		Authority: filepath.Join(a.dir, "authority.pem"),
	}
}

func peers(t *testing.T, name string, files rwpeertls.Files) (*rwpeer.Peers, string) {
	config, err := files.Config()
	require.NoError(t, err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := rwpeer.New(rwidentity.Identity{Name: name, Inc: 1}, key, config, zerolog.Nop(), rwmetric.New())
	p.Handle("name", func(context.Context, rwidentity.Identity, json.RawMessage) (any, error) { return name, nil })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		_ = p.Serve(ctx, l)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return p, l.Addr().String()
}

// Guards against links to or from a router whose certificate is of another
// authority, or that has none.
func TestOnlyCertificatesOfTheFleet(t *testing.T) {
	fleet, other := newAuthority(t), newAuthority(t)
	fleet.issue(t, "a")
	fleet.issue(t, "b")
	other.issue(t, "c")
	a, _ := peers(t, "a", fleet.files("a"))
	_, b := peers(t, "b", fleet.files("b"))
	c, addrC := peers(t, "c", other.files("c"))
	plain, _ := peers(t, "d", rwpeertls.Files{})
	call := func(from *rwpeer.Peers, addr string) error {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		var name string
		return from.Call(ctx, addr, "name", nil, &name)
	}
	require.NoError(t, call(a, b))
	require.Error(t, call(c, b))
	require.Error(t, call(a, addrC))
	require.Error(t, call(plain, b))
}

// Guards against a router that starts with missing or invalid files.
func TestBadFiles(t *testing.T) {
	fleet := newAuthority(t)
	fleet.issue(t, "a")
	for _, bad := range []func(*rwpeertls.Files){
		func(x *rwpeertls.Files) { x.Cert = "missing.pem" },
		func(x *rwpeertls.Files) { x.Authority = "missing.pem" },
		func(x *rwpeertls.Files) { x.Authority = x.Key },
	} {
		files := fleet.files("a")
		bad(&files)
		_, err := files.Config()
		require.Error(t, err)
	}
}
