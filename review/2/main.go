// Case 2: a client that spells the names of header fields in lower case forges its tenant, and its key reaches the target.
package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"fuchsiabridge.example/review/lab"
)

const (
	tenant    = "hule930"
	key       = "n2ctnfzs989anu6wsjnb"
	victim    = "dori112"
	victimKey = "qx71mmv0aah3lsk29fde"
	requests  = 5
	timeLimit = 2 * time.Second
)

func main() { lab.Run(play) }

func play(l *lab.Lab) (bool, error) {
	if err := l.Publish(7, lab.Tenant{Name: tenant, Keys: []string{key}}, lab.Tenant{Name: victim, Keys: []string{victimKey}}); err != nil {
		return false, err
	}
	target, err := l.StartTarget("i-7f3a91c2", "ledger", 15*time.Millisecond)
	if err != nil {
		return false, err
	}
	node, err := l.StartNode("front-plateau-1")
	if err != nil {
		return false, err
	}
	// The disruption: a client that spells the same fields in lower case, which HTTP/1.1 allows.
	spell := strings.ToLower
	if !l.Trouble {
		spell = func(name string) string { return name }
	}
	for i := range requests {
		send(l, node, fmt.Sprintf("private-%d", i), "/post/2f", []lab.Field{
			{Name: "Authorization", Value: "Bearer " + key}, {Name: spell("X-Tenant"), Value: victim},
		})
		send(l, node, fmt.Sprintf("public-%d", i), "/open/2f", []lab.Field{{Name: spell("Authorization"), Value: "Bearer " + key}})
	}
	runs := target.Executions()
	if len(runs) != 2*requests {
		return false, fmt.Errorf("%d requests ran", len(runs))
	}
	isBroken := false
	for _, e := range runs {
		tenants, keys := e.Header.Values("X-Tenant"), e.Header.Values("Authorization")
		l.Note("target %s ran %s %s, attempt %s, X-Tenant %q, Authorization %q", e.Target, e.Method, e.Path, e.Attempt, tenants, keys)
		isForged := strings.HasPrefix(e.Attempt, "private") && e.Header.Get("X-Tenant") != tenant
		isBroken = isBroken || isForged || len(keys) > 0
	}
	return isBroken, nil
}

func send(l *lab.Lab, n *lab.Node, id, path string, extra []lab.Field) {
	c, err := lab.Dial(n)
	if err != nil {
		l.Note("%s: %v", id, err)
		return
	}
	defer c.Close()
	fields := append([]lab.Field{{Name: "Host", Value: lab.Host}, {Name: "X-Attempt-Id", Value: id}, {Name: "X-Deadline-Ms", Value: "1000"}}, extra...)
	answer, err := c.Send(http.MethodPost, path, fields, "payment", timeLimit)
	l.Note("client sent POST %s, attempt %s, %v; answer: %d %v", path, id, extra, answer.Status, err)
}
