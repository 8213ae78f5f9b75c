// Package certloader builds TLS configurations from PEM files and reloads a certificate when its
// files change, without a restart.
package certloader

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// PeerName is the DNS name in every node's certificate. Nodes dial each other by IP address, so
// the client verifies this name instead of the address.
const PeerName = "fuchsiabridge-node"

// checkInterval is the minimum time between two checks of the files' modification times.
const checkInterval = time.Second

// Loader holds one certificate and its private key.
type Loader struct {
	certFile, keyFile string

	mu        sync.Mutex
	cert      *tls.Certificate
	modified  time.Time
	nextCheck time.Time
}

// NewLoader returns a loader that has read the certificate and its private key.
func NewLoader(certFile, keyFile string) (*Loader, error) {
	l := &Loader{certFile: certFile, keyFile: keyFile}
	modified, err := l.lastModified()
	if err != nil {
		return nil, err
	}
	return l, l.load(modified)
}

// Server returns a server configuration that does not ask clients for a certificate.
func (l *Loader) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return l.current(time.Now()), nil
		},
	}
}

// Peer returns a mutual TLS configuration for connections between nodes, for both client and
// server: each side must present a certificate signed by the authority in caFile.
func (l *Loader) Peer(caFile string) (*tls.Config, error) {
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return nil, errors.Wrap(err, "reading the CA certificate")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Newf("%s contains no PEM certificate", caFile)
	}
	cfg := l.Server()
	cfg.ClientAuth = tls.RequireAndVerifyClientCert
	cfg.ClientCAs, cfg.RootCAs = pool, pool
	cfg.ServerName = PeerName
	cfg.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
		return l.current(time.Now()), nil
	}
	return cfg, nil
}

// current returns the certificate and reloads it first if its files have changed. If the pair
// cannot be loaded, for example because only one of the two files has been replaced so far, the
// previous certificate stays in use.
func (l *Loader) current(now time.Time) *tls.Certificate {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Before(l.nextCheck) {
		return l.cert
	}
	l.nextCheck = now.Add(checkInterval)
	modified, err := l.lastModified()
	if err == nil && !modified.Equal(l.modified) {
		_ = l.load(modified)
	}
	return l.cert
}

func (l *Loader) lastModified() (time.Time, error) {
	var last time.Time
	for _, name := range []string{l.certFile, l.keyFile} {
		info, err := os.Stat(name)
		if err != nil {
			return last, errors.Wrap(err, "checking a certificate file")
		}
		if info.ModTime().After(last) {
			last = info.ModTime()
		}
	}
	return last, nil
}

func (l *Loader) load(modified time.Time) error {
	cert, err := tls.LoadX509KeyPair(l.certFile, l.keyFile)
	if err != nil {
		return errors.Wrap(err, "loading a certificate and its key")
	}
	l.cert, l.modified = &cert, modified
	return nil
}
