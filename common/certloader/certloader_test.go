package certloader_test

import (
	"crypto/tls"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/certloader"
	"fuchsiabridge.example/common/certmaker"
)

func newCA(c *qt.C) *certmaker.Authority {
	a, err := certmaker.NewAuthority(c.TempDir())
	c.Assert(err, qt.IsNil)
	return a
}

func issue(c *qt.C, a *certmaker.Authority, serial int64) (certFile, keyFile string) {
	certFile, keyFile, err := a.Issue(certloader.PeerName, serial)
	c.Assert(err, qt.IsNil)
	return certFile, keyFile
}

// presentedSerial dials once and returns the serial number of the certificate that the server presents.
func presentedSerial(client, server *tls.Config) (int64, error) {
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
	// In TLS 1.3 the client learns that the server rejected its certificate only on the first read
	// after the handshake.
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		return 0, err
	}
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

// TestCertificateIsReloaded replaces the files while a configuration is in use: new connections
// get the new certificate.
func TestCertificateIsReloaded(t *testing.T) {
	c := qt.New(t)
	a := newCA(c)
	l, err := certloader.NewLoader(issue(c, a, 10))
	c.Assert(err, qt.IsNil)
	cfg, err := l.Peer(a.CAFile)
	c.Assert(err, qt.IsNil)
	serial, err := presentedSerial(cfg, cfg)
	c.Assert(err, qt.IsNil)
	c.Assert(serial, qt.Equals, int64(10))
	issue(c, a, 11)
	for deadline := time.Now().Add(10 * time.Second); serial != 11 && time.Now().Before(deadline); {
		time.Sleep(20 * time.Millisecond)
		serial, err = presentedSerial(cfg, cfg)
		c.Assert(err, qt.IsNil)
	}
	c.Assert(serial, qt.Equals, int64(11))
}

// TestPeerOfOtherAuthorityIsRefused dials with a certificate that the server's authority did not sign.
func TestPeerOfOtherAuthorityIsRefused(t *testing.T) {
	c := qt.New(t)
	configs := make([]*tls.Config, 2)
	for i := range configs {
		a := newCA(c)
		l, err := certloader.NewLoader(issue(c, a, 1))
		c.Assert(err, qt.IsNil)
		configs[i], err = l.Peer(a.CAFile)
		c.Assert(err, qt.IsNil)
	}
	_, err := presentedSerial(configs[0], configs[1])
	c.Assert(err, qt.IsNotNil)
}

// TestMissingFilesAreAnError checks that NewLoader fails when the files do not exist.
func TestMissingFilesAreAnError(t *testing.T) {
	c := qt.New(t)
	_, err := certloader.NewLoader("none.pem", "none.key")
	c.Assert(err, qt.ErrorMatches, "checking a certificate file: .*")
}
