// Package scheduler draws the arrivals of an experiment: open loop, with a fixed seed,
// over the classes and client accounts of a deployment.
package scheduler

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"fuchsiabridge.example/common/identifier"
)

// Kind says what a request is.
type Kind string

// Kinds of requests.
const (
	Draft  Kind = "draft"
	Record Kind = "record"
	Lookup Kind = "lookup"
)

const (
	// templateWords is the length of the text that the prompts of one template share.
	templateWords = 31
	// templatesPerAccount is the number of templates that each client account uses.
	templatesPerAccount = 2
	leastOwnWords       = 2
	mostOwnWords        = 10
	// stream tells the generator's streams of random numbers apart.
	stream = 1
)

// Class is one class's part in a mix.
type Class struct {
	Name identifier.Class
	Kind Kind
	// Share is the class's part of all requests, in percent.
	Share       int
	Service     identifier.ServiceID
	LeastTokens int
	MostTokens  int
	// Weight is what one outcome of the class counts.
	Weight int
	// Deadline is the time from the intended arrival within which an answer is of use.
	Deadline time.Duration
}

// Mix is one deployment's classes.
type Mix []Class

// Mixes returns the deployments' mixes by name.
func Mixes() map[string]Mix {
	return map[string]Mix{
		"teranga": {
			{Name: "counter", Kind: Draft, Share: 40, LeastTokens: 4, MostTokens: 8, Weight: 5, Deadline: 4 * time.Second},
			{Name: "bulk", Kind: Draft, Share: 40, LeastTokens: 6, MostTokens: 12, Weight: 1, Deadline: 12 * time.Second},
			{Name: "record", Kind: Record, Share: 10, Service: "ledger", Weight: 10, Deadline: 5 * time.Second},
			{Name: "lookup", Kind: Lookup, Share: 10, Service: "catalogue", Weight: 1, Deadline: 2 * time.Second},
		},
		"guild": {
			{Name: "counter", Kind: Draft, Share: 10, LeastTokens: 4, MostTokens: 8, Weight: 5, Deadline: 4 * time.Second},
			{Name: "bulk", Kind: Draft, Share: 75, LeastTokens: 6, MostTokens: 12, Weight: 1, Deadline: 12 * time.Second},
			{Name: "claim", Kind: Record, Share: 5, Service: "desk", Weight: 10, Deadline: 5 * time.Second},
			{Name: "lookup", Kind: Lookup, Share: 10, Service: "catalogue", Weight: 1, Deadline: 2 * time.Second},
		},
	}
}

// Account is one client account's part in the arrivals.
type Account struct {
	Key string
	// Share is the account's part of all requests, relative to the others'.
	Share int
}

// ParseAccounts reads "key=share" pairs, several by comma.
func ParseAccounts(text string) ([]Account, error) {
	var accounts []Account
	for _, pair := range strings.Split(text, ",") {
		a := Account{}
		key, share, ok := strings.Cut(pair, "=")
		if _, err := fmt.Sscan(share, &a.Share); !ok || err != nil || key == "" || a.Share < 1 {
			return nil, errors.Newf("%q must be key=share", pair)
		}
		a.Key = key
		accounts = append(accounts, a)
	}
	return accounts, nil
}

// Arrival is one request that is to be made.
type Arrival struct {
	Number int
	// At is the intended arrival, from the start of the experiment.
	At        time.Duration
	Class     Class
	Account   Account
	Prompt    string
	MaxTokens int
	// Pick chooses the node, and the jitter of repeats.
	Pick uint64
}

// Plan says what arrivals to draw.
type Plan struct {
	Seed     uint64
	Rate     float64
	Length   time.Duration
	Mix      Mix
	Accounts []Account
}

// Draw returns the plan's arrivals in their order; equal plans give equal arrivals.
func Draw(p Plan) []Arrival {
	r := rand.New(rand.NewPCG(p.Seed, stream))
	var arrivals []Arrival
	for at := gap(r, p.Rate); at < p.Length; at += gap(r, p.Rate) {
		arrivals = append(arrivals, p.arrival(r, len(arrivals), at))
	}
	return arrivals
}

func gap(r *rand.Rand, rate float64) time.Duration {
	return time.Duration(r.ExpFloat64() / rate * float64(time.Second))
}

func (p Plan) arrival(r *rand.Rand, number int, at time.Duration) Arrival {
	a := Arrival{Number: number, At: at, Class: p.class(r), Account: p.account(r), Pick: r.Uint64()}
	if a.Class.Kind == Draft {
		a.MaxTokens = a.Class.LeastTokens + r.IntN(a.Class.MostTokens-a.Class.LeastTokens+1)
		a.Prompt = prompt(r, a.Account.Key)
	}
	return a
}

func (p Plan) class(r *rand.Rand) Class {
	n := r.IntN(100)
	for _, c := range p.Mix {
		if n -= c.Share; n < 0 {
			return c
		}
	}
	return p.Mix[len(p.Mix)-1]
}

func (p Plan) account(r *rand.Rand) Account {
	total := 0
	for _, a := range p.Accounts {
		total += a.Share
	}
	n := r.IntN(total)
	for _, a := range p.Accounts {
		if n -= a.Share; n < 0 {
			return a
		}
	}
	return p.Accounts[len(p.Accounts)-1]
}

// prompt returns the text of one of the account's templates and a few words of its own.
func prompt(r *rand.Rand, key string) string {
	template := r.IntN(templatesPerAccount)
	words := make([]string, 0, templateWords+mostOwnWords)
	for i := range templateWords {
		words = append(words, fmt.Sprintf("%s-%d-%d", key, template, i))
	}
	for range leastOwnWords + r.IntN(mostOwnWords-leastOwnWords+1) {
		words = append(words, fmt.Sprintf("w%d", r.Uint32()))
	}
	return strings.Join(words, " ")
}

// Work is what the arrivals ask of the engines.
type Work struct {
	Drafts int
	Tokens int
	// UncachedPromptTokens counts the prompt tokens of which no cache can hold the block.
	UncachedPromptTokens int
}

// WorkOf adds up the drafts among arrivals, with every shared block of a prompt cached.
func WorkOf(arrivals []Arrival, blockTokens int) Work {
	var w Work
	for _, a := range arrivals {
		if a.Class.Kind != Draft {
			continue
		}
		w.Drafts++
		w.Tokens += a.MaxTokens
		// The models see one word more before the text, the author's role.
		own := len(strings.Fields(a.Prompt)) + 1
		shared := (templateWords + 1) / blockTokens * blockTokens
		w.UncachedPromptTokens += own - shared
	}
	return w
}
