// Package certloader makes TLS configurations from files, and reads a certificate
// again when its files have changed, without a restart.
package certloader

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// PeerName is the DNS name that every node's certificate carries, as nodes dial each other by IP number.
const PeerName = "fuchsiabridge-node"

// checkInterval is how often the files are looked at, at most.
const checkInterval = time.Second

// Loader holds one certificate and its key.
type Loader struct {
	certFile, keyFile string

	mu        sync.Mutex
	cert      *tls.Certificate
	modified  time.Time
	nextCheck time.Time
}

// NewLoader reads the certificate and its key.
func NewLoader(certFile, keyFile string) (*Loader, error) {
	l := &Loader{certFile: certFile, keyFile: keyFile}
	modified, err := l.lastChange()
	if err != nil {
		return nil, err
	}
	return l, l.read(modified)
}

// Server returns a configuration for callers, who need no certificate.
func (l *Loader) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return l.current(time.Now()), nil
		},
	}
}

// Peer returns a configuration for both ends of connections between nodes: each must
// have a certificate of the authority in caFile.
func (l *Loader) Peer(caFile string) (*tls.Config, error) {
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return nil, errors.Wrap(err, "reading the authority's certificate")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Newf("%s holds no certificate", caFile)
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

// current returns the certificate, read again when its files changed; a pair that
// cannot be read, as between the writing of its two files, leaves the one before in use.
func (l *Loader) current(now time.Time) *tls.Certificate {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Before(l.nextCheck) {
		return l.cert
	}
	l.nextCheck = now.Add(checkInterval)
	modified, err := l.lastChange()
	if err == nil && !modified.Equal(l.modified) {
		_ = l.read(modified)
	}
	return l.cert
}

func (l *Loader) lastChange() (time.Time, error) {
	var last time.Time
	for _, name := range []string{l.certFile, l.keyFile} {
		info, err := os.Stat(name)
		if err != nil {
			return last, errors.Wrap(err, "looking at a certificate's file")
		}
		if info.ModTime().After(last) {
			last = info.ModTime()
		}
	}
	return last, nil
}

func (l *Loader) read(modified time.Time) error {
	cert, err := tls.LoadX509KeyPair(l.certFile, l.keyFile)
	if err != nil {
		return errors.Wrap(err, "reading a certificate")
	}
	l.cert, l.modified = &cert, modified
	return nil
}
