// Package certmaker creates a certificate authority and issues certificates signed by it, for
// tests and local trials.
package certmaker

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// validity is how long a certificate is valid before and after its creation.
	validity    = 24 * time.Hour
	pemFileMode = 0o600
)

// Authority is a certificate authority; its own certificate is in CAFile.
type Authority struct {
	CAFile string
	dir    string
	cert   *x509.Certificate
	key    *ecdsa.PrivateKey
}

// NewAuthority creates an authority that writes its files to dir.
func NewAuthority(dir string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generating a key")
	}
	a := &Authority{dir: dir, key: key, cert: template(1)}
	a.cert.IsCA, a.cert.BasicConstraintsValid, a.cert.KeyUsage = true, true, x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, a.cert, a.cert, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "signing the CA certificate")
	}
	a.CAFile, err = a.write("ca.pem", "CERTIFICATE", der)
	return a, err
}

// Issue writes a certificate for the DNS name with the given serial number, and its private key,
// and returns the paths of both files.
func (a *Authority) Issue(name string, serial int64) (certFile, keyFile string, err error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return "", "", errors.Wrap(err, "generating a key")
	}
	cert := template(serial)
	cert.DNSNames, cert.KeyUsage = []string{name}, x509.KeyUsageDigitalSignature
	cert.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, cert, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return "", "", errors.Wrap(err, "signing a certificate")
	}
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return "", "", errors.Wrap(err, "encoding a key")
	}
	if keyFile, err = a.write(name+".key", "PRIVATE KEY", raw); err != nil {
		return "", "", err
	}
	certFile, err = a.write(name+".pem", "CERTIFICATE", der)
	return certFile, keyFile, err
}

func (a *Authority) write(name, blockType string, der []byte) (string, error) {
	path := filepath.Join(a.dir, name)
	raw := pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der})
	return path, errors.Wrap(os.WriteFile(path, raw, pemFileMode), "writing a PEM file")
}

func template(serial int64) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{SerialNumber: big.NewInt(serial), NotBefore: now.Add(-validity), NotAfter: now.Add(validity)}
}
