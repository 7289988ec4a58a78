package rwgate

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func certificate(t *testing.T) (tls.Certificate, *x509.CertPool) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	require.NoError(t, err)
	cert, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	pool := x509.NewCertPool()
	pool.AddCert(cert)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, pool
}

// Guards against a TLS configuration that is not used: both protocols must work
// with TLS, and a request without TLS must not be served.
func TestTLS(t *testing.T) {
	cert, pool := certificate(t)
	h := newHarness(t)
	h.TLS = &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := h.Server()
	go func() { _ = s.ServeTLS(l, "", "") }()
	defer func() { _ = s.Close() }()
	for _, want := range []string{"HTTP/1.1", "HTTP/2.0"} {
		var p http.Protocols
		p.SetHTTP1(want == "HTTP/1.1")
		p.SetHTTP2(want == "HTTP/2.0")
		c := &http.Client{Transport: &http.Transport{Protocols: &p, TLSClientConfig: &tls.Config{RootCAs: pool}}}
		r := request(t, "POST", chatPath, "draft", goodBody)
		r.URL.Scheme, r.URL.Host = "https", l.Addr().String()
		resp, err := c.Do(r)
		require.NoError(t, err)
		_ = resp.Body.Close()
		require.Equal(t, http.StatusOK, resp.StatusCode)
		require.Equal(t, want, resp.Proto)
		c.CloseIdleConnections()
	}
	plain := request(t, "POST", chatPath, "draft", goodBody)
	plain.URL.Host = l.Addr().String()
	resp, err := http.DefaultClient.Do(plain)
	if err == nil {
		_ = resp.Body.Close()
		require.Equal(t, http.StatusBadRequest, resp.StatusCode)
	}
	require.Equal(t, int64(2), h.ran.Load())
}
