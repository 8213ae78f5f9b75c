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

func newAuthority(c *qt.C) *certmaker.Authority {
	a, err := certmaker.NewAuthority(c.TempDir())
	c.Assert(err, qt.IsNil)
	return a
}

func issue(c *qt.C, a *certmaker.Authority, serial int64) (certFile, keyFile string) {
	certFile, keyFile, err := a.Issue(certloader.PeerName, serial)
	c.Assert(err, qt.IsNil)
	return certFile, keyFile
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
	l, err := certloader.NewLoader(issue(c, a, 10))
	c.Assert(err, qt.IsNil)
	cfg, err := l.Peer(a.CAFile)
	c.Assert(err, qt.IsNil)
	serial, err := serialSeen(cfg, cfg)
	c.Assert(err, qt.IsNil)
	c.Assert(serial, qt.Equals, int64(10))
	issue(c, a, 11)
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
		l, err := certloader.NewLoader(issue(c, a, 1))
		c.Assert(err, qt.IsNil)
		configs[i], err = l.Peer(a.CAFile)
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
