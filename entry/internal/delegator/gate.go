package delegator

import (
	"sync"

	"github.com/cockroachdb/errors"

	"fuchsiabridge.example/common/identifier"
)

const (
	// maxOpen limits the delegated requests in progress at a node, maxOpenBytes the bodies that they hold.
	maxOpen      = 256
	maxOpenBytes = 16 << 20
)

// ErrFull is returned for a request that is more than a node takes at once.
var ErrFull = errors.New("too many requests of other nodes in progress")

// OfferMethod is the name of the peer call that asks whether a node takes delegated requests.
const OfferMethod = "offer"

// Question asks a node whether it takes delegated requests for a service.
type Question struct {
	Service identifier.ServiceID `json:"service"`
}

// Offer is the answer to a question.
type Offer struct {
	// Address is where the node takes delegated requests, empty if it does not take any now.
	Address string `json:"address,omitempty"`
	// Open counts the delegated requests in progress there.
	Open int `json:"open"`
}

// Gate bounds the delegated requests that a node takes at once.
type Gate struct {
	mu    sync.Mutex
	open  int
	bytes int
}

// Enter takes a request with a body of the given number of bytes, unless that is too much. The returned function ends it.
func (g *Gate) Enter(bytes int) (leave func(), ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open >= maxOpen || g.bytes+bytes > maxOpenBytes {
		return nil, false
	}
	g.open++
	g.bytes += bytes
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.open--
		g.bytes -= bytes
	}, true
}

// Open returns the number of delegated requests in progress, and whether there is room for more.
func (g *Gate) Open() (int, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open, g.open < maxOpen
}
