// Case 1: after the last key of the deployment has been taken away, requests without a valid key run.
package main

import (
	"fmt"
	"net/http"
	"time"

	"fuchsiabridge.example/review/lab"
)

const (
	tenant = "hule930"
	key    = "n2ctnfzs989anu6wsjnb"
	// other is the key that stays in the run without the disruption, never a key that no version holds.
	other = "anfqasnmgkcuyj8pjbvk"
	never = "zzzzzzzzzzzzzzzzzzzz"
	// revokeLimit is revoke_ms, and margin what is waited beyond it.
	revokeLimit = 5 * time.Second
	margin      = 2 * time.Second
	requests    = 5
	timeLimit   = 2 * time.Second
)

func main() { lab.Run(play) }

func play(l *lab.Lab) (bool, error) {
	if err := l.Publish(7, lab.Tenant{Name: tenant, Keys: []string{key, other}}); err != nil {
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
	if got := send(l, node, "before", "Bearer "+key); got != http.StatusOK {
		return false, fmt.Errorf("a valid key was answered %d", got)
	}
	if got := send(l, node, "before-unknown", "Bearer "+never); got != http.StatusUnauthorized {
		return false, fmt.Errorf("an unknown key was answered %d", got)
	}
	// The disruption: both keys are taken away. Without it, one of the two stays.
	kept := []string{}
	if !l.Trouble {
		kept = []string{other}
	}
	if err := l.Publish(8, lab.Tenant{Name: tenant, Keys: kept}); err != nil {
		return false, err
	}
	time.Sleep(revokeLimit + margin)
	for i := range requests {
		send(l, node, fmt.Sprintf("revoked-%d", i), "Bearer "+key)
		send(l, node, fmt.Sprintf("never-%d", i), "Bearer "+never)
		send(l, node, fmt.Sprintf("none-%d", i), "")
	}
	isBroken := false
	for _, e := range target.Executions() {
		l.Note("target %s ran %s %s, attempt %s, X-Tenant %q", e.Target, e.Method, e.Path, e.Attempt, e.Header.Values("X-Tenant"))
		if e.Attempt != "before" {
			isBroken = true
		}
	}
	return isBroken, nil
}

// send sends a request and returns the status of the answer, 0 for none.
func send(l *lab.Lab, n *lab.Node, id, authorization string) int {
	c, err := lab.Dial(n)
	if err != nil {
		l.Note("%s: %v", id, err)
		return 0
	}
	defer c.Close()
	fields := []lab.Field{{Name: "Host", Value: lab.Host}, {Name: "X-Attempt-Id", Value: id}, {Name: "X-Deadline-Ms", Value: "1000"}}
	if authorization != "" {
		fields = append(fields, lab.Field{Name: "Authorization", Value: authorization})
	}
	answer, err := c.Send(http.MethodPost, "/post/2f", fields, "payment", timeLimit)
	l.Note("client sent POST /post/2f, attempt %s, Authorization %q; answer: %d %v", id, authorization, answer.Status, err)
	return answer.Status
}
