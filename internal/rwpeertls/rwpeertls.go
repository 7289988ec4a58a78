// Package rwpeertls makes the TLS configuration of links between routers. Both
// ends must present a certificate of the fleet's own certificate authority.
package rwpeertls

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
)

// Files names the PEM files of a router.
type Files struct {
	// Cert and Key are this router's certificate and its key.
	Cert, Key string
	// Authority is the certificate of the authority that signs the certificates
	// of all routers of the fleet and no others.
	Authority string
}

// Config returns a configuration for both ends of a link, or nil if no files are
// named. Names and addresses in certificates are not checked: VMs are replaced at
// any time and a router knows its peers only by address, so a certificate can
// only prove membership in the fleet. It fails with SettingsInvalid.
func (t Files) Config() (*tls.Config, error) {
	if t == (Files{}) {
		return nil, nil
	}
	pair, err := tls.LoadX509KeyPair(t.Cert, t.Key)
	if err != nil {
		return nil, rwfault.Wrap(rwcode.SettingsInvalid, err)
	}
	pem, err := os.ReadFile(t.Authority)
	if err != nil {
		return nil, rwfault.Wrap(rwcode.SettingsInvalid, err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, rwfault.New(rwcode.SettingsInvalid, t.Authority+": contains no certificate")
	}
	return &tls.Config{
		Certificates: []tls.Certificate{pair},
		MinVersion:   tls.VersionTLS13,
		ClientAuth:   tls.RequireAnyClientCert,
		// verify checks the certificate chain at both ends.
		InsecureSkipVerify: true,
		VerifyConnection:   func(s tls.ConnectionState) error { return verify(s, roots) },
	}, nil
}

func verify(s tls.ConnectionState, roots *x509.CertPool) error {
	if len(s.PeerCertificates) == 0 {
		return rwfault.New(rwcode.PeerKey, "peer presented no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: roots, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	if err != nil {
		return rwfault.Wrap(rwcode.PeerKey, err)
	}
	return nil
}
