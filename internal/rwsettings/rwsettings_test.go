package rwsettings

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/spf13/pflag"
	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
)

func valid() Settings {
	return Settings{
		Name: "r1", Zone: "za", Region: "main", Listen: "127.0.0.1:1", PeerListen: "127.0.0.1:2",
		OpsListen: "127.0.0.1:3", Platform: "http://127.0.0.1:4/", FleetKey: "0123456789abcdef",
		Policy: "fleet", Cell: 4, MaxConns: 1, MaxRequests: 1, BodyTimeout: time.Second,
	}
}

// Guards against a check that reports only the first of several invalid
// settings, so that an operator needs one start for each.
func TestCheckListsAllFaults(t *testing.T) {
	good := valid()
	require.NoError(t, good.Check())
	good.MemoryMB = minMemoryMB
	require.NoError(t, good.Check())
	bad := Settings{MemoryMB: 1, Listen: "router:80", Seeds: []string{"x"}, Cert: "cert.pem"}
	err := bad.Check()
	require.True(t, rwfault.Is(err, rwcode.SettingsInvalid))
	for _, want := range []string{
		"name", "zone", "region", "listen", "peer", "ops", "platform", "key must", "policy", "cell",
		"seed x", "cert-key", "max-conns", "max-requests", "memory-mb", "body-timeout",
	} {
		require.ErrorContains(t, err, want)
	}
}

// Guards against settings that can't be given by the environment or by a flag,
// and against a flag that doesn't take precedence.
func TestFlagsWin(t *testing.T) {
	t.Setenv("REDWING_MAX_CONNS", "7")
	t.Setenv("REDWING_BODY_TIMEOUT", "3s")
	s, err := Load()
	require.NoError(t, err)
	require.Equal(t, 7, s.MaxConns)
	f := pflag.NewFlagSet("", pflag.ContinueOnError)
	s.Flags(f)
	require.NoError(t, f.Parse([]string{"--max-conns", "9"}))
	require.Equal(t, 9, s.MaxConns)
	require.Equal(t, 3*time.Second, s.BodyTimeout)
}

// Guards against a certificate that is set but not used, and against plain HTTP
// because of a missing file.
func TestTLS(t *testing.T) {
	s := valid()
	c, err := s.TLS()
	require.NoError(t, err)
	require.Nil(t, c)
	s.Cert, s.CertKey = writePair(t)
	c, err = s.TLS()
	require.NoError(t, err)
	require.Len(t, c.Certificates, 1)
	s.Cert = "missing.pem"
	_, err = s.TLS()
	require.True(t, rwfault.Is(err, rwcode.SettingsInvalid))
}

func writePair(t *testing.T) (cert, key string) {
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, private.Public(), private)
	require.NoError(t, err)
	secret, err := x509.MarshalPKCS8PrivateKey(private)
	require.NoError(t, err)
	dir := t.TempDir()
	cert, key = filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	require.NoError(t, os.WriteFile(cert, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	require.NoError(t, os.WriteFile(key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: secret}), 0o600))
	return cert, key
}
