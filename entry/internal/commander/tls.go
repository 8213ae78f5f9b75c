package commander

import (
	"context"
	"crypto/tls"
	"net"

	"github.com/cockroachdb/errors"

	"fuchsiabridge.example/common/certloader"
	"fuchsiabridge.example/common/optionparser"
	"fuchsiabridge.example/entry/internal/callerguard"
)

// listenForCallers listens for callers, with TLS if a certificate is set.
func listenForCallers(ctx context.Context, values optionparser.Values, g *callerguard.Guard) (net.Listener, error) {
	var cfg *tls.Config
	if values.Text("tls-cert") != "" {
		loader, err := certloader.NewLoader(values.Text("tls-cert"), values.Text("tls-key"))
		if err != nil {
			return nil, err
		}
		cfg = loader.Server()
	}
	l, err := listen(ctx, values.Text("listen"), cfg, g, callers)
	return l, errors.Wrap(err, "listening for callers")
}

// peerTLS returns the TLS configuration for connections between nodes, or nil if no CA is set.
func peerTLS(values optionparser.Values) (*tls.Config, error) {
	if values.Text("peer-ca") == "" {
		return nil, nil
	}
	loader, err := certloader.NewLoader(values.Text("peer-cert"), values.Text("peer-key"))
	if err != nil {
		return nil, err
	}
	return loader.Peer(values.Text("peer-ca"))
}

// listen listens at an address, with TLS if a configuration is given. Its connections are guarded.
func listen(ctx context.Context, address string, cfg *tls.Config, g *callerguard.Guard, use callerguard.Use) (net.Listener, error) {
	var listener net.ListenConfig
	l, err := listener.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	l = g.Listener(l, use)
	if cfg == nil {
		return l, nil
	}
	return tls.NewListener(l, cfg), nil
}
