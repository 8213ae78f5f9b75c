// Package scheduler generates the arrivals of an experiment: a seeded Poisson process over the request
// classes and client accounts of a deployment.
package scheduler

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"fuchsiabridge.example/common/identifier"
)

// Kind is the kind of a request: a chat completion, a call that must run at most once, or a read.
type Kind string

// Kinds of requests.
const (
	Draft  Kind = "draft"
	Record Kind = "record"
	Lookup Kind = "lookup"
)

const (
	// templateWords is the number of words that all prompts of one template begin with.
	templateWords = 31
	// templatesPerAccount is the number of templates that each client account uses.
	templatesPerAccount = 2
	minUniqueWords      = 2
	maxUniqueWords      = 10
	// rngStream selects the generator's sequence of random numbers, in addition to the seed.
	rngStream = 1
)

// Class is one request class of a mix.
type Class struct {
	Name identifier.Class
	Kind Kind
	// Share is the percentage of all requests that belong to the class.
	Share     int
	Service   identifier.ServiceID
	MinTokens int
	MaxTokens int
	// Weight is the weight of one request of the class in the weighted results.
	Weight int
	// Deadline is the time from the intended arrival to the request's deadline.
	Deadline time.Duration
}

// Mix lists the request classes of one deployment.
type Mix []Class

// Mixes returns all mixes by name.
func Mixes() map[string]Mix {
	return map[string]Mix{
		"teranga": {
			{Name: "counter", Kind: Draft, Share: 40, MinTokens: 4, MaxTokens: 8, Weight: 5, Deadline: 4 * time.Second},
			{Name: "bulk", Kind: Draft, Share: 40, MinTokens: 6, MaxTokens: 12, Weight: 1, Deadline: 12 * time.Second},
			{Name: "record", Kind: Record, Share: 10, Service: "ledger", Weight: 10, Deadline: 5 * time.Second},
			{Name: "lookup", Kind: Lookup, Share: 10, Service: "catalogue", Weight: 1, Deadline: 2 * time.Second},
		},
		"guild": {
			{Name: "counter", Kind: Draft, Share: 10, MinTokens: 4, MaxTokens: 8, Weight: 5, Deadline: 4 * time.Second},
			{Name: "bulk", Kind: Draft, Share: 75, MinTokens: 6, MaxTokens: 12, Weight: 1, Deadline: 12 * time.Second},
			{Name: "claim", Kind: Record, Share: 5, Service: "desk", Weight: 10, Deadline: 5 * time.Second},
			{Name: "lookup", Kind: Lookup, Share: 10, Service: "catalogue", Weight: 1, Deadline: 2 * time.Second},
		},
	}
}

// Account is a client account and its share of the arrivals.
type Account struct {
	Key string
	// Share is the account's relative share of all requests.
	Share int
}

// ParseAccounts parses comma-separated "key=share" pairs.
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

// Arrival is one request to send.
type Arrival struct {
	Number int
	// At is the intended time of arrival since the start of the experiment.
	At        time.Duration
	Class     Class
	Account   Account
	Prompt    string
	MaxTokens int
	// RandomValue selects the node and the jitter of retries.
	RandomValue uint64
}

// Plan holds the parameters of the arrivals. Rate is in requests per second.
type Plan struct {
	Seed     uint64
	Rate     float64
	Length   time.Duration
	Mix      Mix
	Accounts []Account
}

// Draw returns the plan's arrivals in order of time. Equal plans give equal arrivals.
func Draw(p Plan) []Arrival {
	r := rand.New(rand.NewPCG(p.Seed, rngStream))
	var arrivals []Arrival
	for at := interarrivalTime(r, p.Rate); at < p.Length; at += interarrivalTime(r, p.Rate) {
		arrivals = append(arrivals, p.arrival(r, len(arrivals), at))
	}
	return arrivals
}

// interarrivalTime returns an exponentially distributed time, as in a Poisson process.
func interarrivalTime(r *rand.Rand, rate float64) time.Duration {
	return time.Duration(r.ExpFloat64() / rate * float64(time.Second))
}

func (p Plan) arrival(r *rand.Rand, number int, at time.Duration) Arrival {
	a := Arrival{Number: number, At: at, Class: p.class(r), Account: p.account(r), RandomValue: r.Uint64()}
	if a.Class.Kind == Draft {
		a.MaxTokens = a.Class.MinTokens + r.IntN(a.Class.MaxTokens-a.Class.MinTokens+1)
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

// prompt returns the text of one of the account's templates, followed by a few unique words. Prompts of one
// template share a prefix that engines can cache.
func prompt(r *rand.Rand, key string) string {
	template := r.IntN(templatesPerAccount)
	words := make([]string, 0, templateWords+maxUniqueWords)
	for i := range templateWords {
		words = append(words, fmt.Sprintf("%s-%d-%d", key, template, i))
	}
	for range minUniqueWords + r.IntN(maxUniqueWords-minUniqueWords+1) {
		words = append(words, fmt.Sprintf("w%d", r.Uint32()))
	}
	return strings.Join(words, " ")
}

// Work is the total work that drafts cause at the engines.
type Work struct {
	Drafts int
	Tokens int
	// UncachedPromptTokens counts the prompt tokens outside the shared blocks that a prefix cache can hold.
	UncachedPromptTokens int
}

// TotalWork sums the work of all drafts among arrivals, assuming that every block of a shared prefix is
// cached.
func TotalWork(arrivals []Arrival, blockTokens int) Work {
	var w Work
	for _, a := range arrivals {
		if a.Class.Kind != Draft {
			continue
		}
		w.Drafts++
		w.Tokens += a.MaxTokens
		// The models see one more word before the text, the role of the message's author.
		promptTokens := len(strings.Fields(a.Prompt)) + 1
		shared := (templateWords + 1) / blockTokens * blockTokens
		w.UncachedPromptTokens += promptTokens - shared
	}
	return w
}
