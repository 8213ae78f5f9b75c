package certloader_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/certloader"
)

// authority signs certificates for the tests.
type authority struct {
	c    *qt.C
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(c *qt.C) *authority {
	a := &authority{c: c, dir: c.TempDir()}
	a.key = a.newKey()
	a.cert = &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	a.write("ca.pem", "CERTIFICATE", a.sign(a.cert, a.key))
	return a
}

func (a *authority) newKey() *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	a.c.Assert(err, qt.IsNil)
	return key
}

func (a *authority) sign(cert *x509.Certificate, key *ecdsa.PrivateKey) []byte {
	der, err := x509.CreateCertificate(rand.Reader, cert, a.cert, &key.PublicKey, a.key)
	a.c.Assert(err, qt.IsNil)
	return der
}

func (a *authority) write(name, kind string, der []byte) string {
	path := filepath.Join(a.dir, name)
	a.c.Assert(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600), qt.IsNil)
	return path
}

// issue writes a certificate with the serial number and its key, and returns their files.
func (a *authority) issue(serial int64) (certFile, keyFile string) {
	key := a.newKey()
	der := a.sign(&x509.Certificate{
		SerialNumber: big.NewInt(serial), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		DNSNames: []string{certloader.PeerName}, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, key)
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	a.c.Assert(err, qt.IsNil)
	return a.write("node.pem", "CERTIFICATE", der), a.write("node.key", "PRIVATE KEY", raw)
}

// serialSeen dials once with the configuration and returns the server's serial number.
func serialSeen(client, server *tls.Config) (int64, error) {
	l, err := tls.Listen("tcp", "127.0.0.1:0", server)
	if err != nil {
		return 0, err
	}
	defer l.Close()
	go func() {
		if conn, err := l.Accept(); err == nil {
			_ = conn.(*tls.Conn).Handshake()
			_, _ = conn.Write([]byte{1})
			_ = conn.Close()
		}
	}()
	conn, err := tls.DialWithDialer(&net.Dialer{Timeout: 5 * time.Second}, "tcp", l.Addr().String(), client)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	// A server that refuses the client's certificate says so only after the client's handshake.
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		return 0, err
	}
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

// TestCertificateIsReadAgain replaces the files under a running configuration.
func TestCertificateIsReadAgain(t *testing.T) {
	c := qt.New(t)
	a := newAuthority(c)
	l, err := certloader.NewLoader(a.issue(10))
	c.Assert(err, qt.IsNil)
	cfg, err := l.Peer(filepath.Join(a.dir, "ca.pem"))
	c.Assert(err, qt.IsNil)
	serial, err := serialSeen(cfg, cfg)
	c.Assert(err, qt.IsNil)
	c.Assert(serial, qt.Equals, int64(10))
	a.issue(11)
	for deadline := time.Now().Add(10 * time.Second); serial != 11 && time.Now().Before(deadline); {
		time.Sleep(20 * time.Millisecond)
		serial, err = serialSeen(cfg, cfg)
		c.Assert(err, qt.IsNil)
	}
	c.Assert(serial, qt.Equals, int64(11))
}

// TestPeerOfAnotherAuthorityIsRefused dials with a certificate that the server's authority did not sign.
func TestPeerOfAnotherAuthorityIsRefused(t *testing.T) {
	c := qt.New(t)
	configs := make([]*tls.Config, 2)
	for i := range configs {
		a := newAuthority(c)
		l, err := certloader.NewLoader(a.issue(1))
		c.Assert(err, qt.IsNil)
		configs[i], err = l.Peer(filepath.Join(a.dir, "ca.pem"))
		c.Assert(err, qt.IsNil)
	}
	_, err := serialSeen(configs[0], configs[1])
	c.Assert(err, qt.IsNotNil)
}

// TestMissingFilesAreAnError names files that do not exist.
func TestMissingFilesAreAnError(t *testing.T) {
	c := qt.New(t)
	_, err := certloader.NewLoader("none.pem", "none.key")
	c.Assert(err, qt.ErrorMatches, "looking at a certificate's file: .*")
}
