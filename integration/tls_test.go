package integration_test

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/certloader"
	"fuchsiabridge.example/common/certmaker"
	"fuchsiabridge.example/integration/launcher"
)

// TestNodesTrustOnlyTheirAuthority starts two nodes with certificates of one authority and a third with
// certificates of another. The two must see each other alive, and neither may accept the third.
func TestNodesTrustOnlyTheirAuthority(t *testing.T) {
	c := qt.New(t)
	f := launcher.NewFleet(t)
	ours, theirs := certificateFlags(c, t.TempDir()), certificateFlags(c, t.TempDir())
	f.AddNode("node-1", "", ours...)
	f.AddNode("node-2", "", ours...)
	f.AddNode("stranger", "", theirs...)
	for _, n := range f.Nodes[:2] {
		awaitPeers(t, n, 1)
	}
	awaitPeers(t, f.Nodes[2], 0)
	for _, n := range f.Nodes[:2] {
		var status struct {
			Peers []struct {
				Node string `json:"node"`
			} `json:"peers"`
		}
		callOperatorAPI(n, http.MethodGet, "/operator/status", nil, &status)
		c.Assert(status.Peers, qt.HasLen, 1)
		c.Assert(status.Peers[0].Node, qt.Not(qt.Equals), "stranger")
	}
}

func certificateFlags(c *qt.C, dir string) []string {
	a, err := certmaker.NewAuthority(dir)
	c.Assert(err, qt.IsNil)
	certFile, keyFile, err := a.Issue(certloader.PeerName, 2)
	c.Assert(err, qt.IsNil)
	return []string{"--peer-ca", a.CAFile, "--peer-cert", certFile, "--peer-key", keyFile}
}
