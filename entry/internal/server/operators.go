package server

import (
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"fuchsiabridge.example/common/configurer"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/common/responder"
	"fuchsiabridge.example/entry/internal/tailer"
)

// changeTimeout is how long an operator's request waits for the decision on a change.
const changeTimeout = 8 * time.Second

// operator serves /operator/…: the configuration, the status of all nodes, and explanations.
func (s *Server) operator(c *fasthttp.RequestCtx, path string) {
	teams := s.operatorTeams(c)
	if len(teams) == 0 {
		s.refuse(c, fasthttp.StatusUnauthorized, "unauthorized", "no operator has this bearer key", "header Authorization")
		return
	}
	switch path {
	case "/operator/status":
		responder.JSON(c, fasthttp.StatusOK, s.node.Status())
	case "/operator/explain":
		responder.JSON(c, fasthttp.StatusOK, s.node.Explain(string(c.QueryArgs().Peek("subject"))))
	case "/operator/tree":
		s.tree(c)
	case "/operator/changes":
		s.change(c, teams)
	case "/operator/begin":
		s.begin(c)
	default:
		s.refuse(c, fasthttp.StatusNotFound, "unknown_path", "no such path", "path")
	}
}

// operatorTeams returns the teams whose configuration subtree the request's key may change.
func (s *Server) operatorTeams(c *fasthttp.RequestCtx) map[identifier.TeamID]bool {
	teams := map[identifier.TeamID]bool{}
	hash, hasKey := keyHash(c)
	if !hasKey {
		return teams
	}
	for team, known := range s.operators {
		if equalHash(known, hash) {
			teams[team] = true
		}
	}
	settings := s.node.Settings()
	if settings == nil {
		return teams
	}
	for id, team := range settings.Teams {
		for _, known := range team.Operators {
			if equalHash(known, hash) {
				teams[id] = true
			}
		}
	}
	return teams
}

// tree answers with the configuration tree as of the node's applied offset of the log.
func (s *Server) tree(c *fasthttp.RequestCtx) {
	call, answers := s.node.Call(1, func(id identifier.CallID) messenger.Event { return tailer.TreeRequested{Call: id} })
	defer s.node.Close(call)
	select {
	case answer := <-answers:
		if tree, ok := answer.(*configurer.Tree); ok && tree != nil {
			responder.JSON(c, fasthttp.StatusOK, tree)
			return
		}
		s.notRun(c, "unready", "the node has not read the log to its end yet")
	case <-time.After(changeTimeout):
		s.notRun(c, "no_answer", "the node did not answer")
	}
}

// begin makes a node that found no state in the log start with the state that it has.
func (s *Server) begin(c *fasthttp.RequestCtx) {
	if string(c.Method()) != fasthttp.MethodPost {
		s.refuse(c, fasthttp.StatusMethodNotAllowed, "bad_method", "must be POST", "method")
		return
	}
	call, answers := s.node.Call(1, func(id identifier.CallID) messenger.Event { return tailer.BeginRequested{Call: id} })
	defer s.node.Close(call)
	select {
	case answer := <-answers:
		if answer == true {
			responder.JSON(c, fasthttp.StatusOK, map[string]bool{"begun": true})
			return
		}
		s.refuse(c, fasthttp.StatusConflict, "not_needed", "the node has its state already, or cannot reach the log", "log")
	case <-time.After(changeTimeout):
		s.notRun(c, "no_answer", "the node did not answer")
	}
}

func (s *Server) notRun(c *fasthttp.RequestCtx, code, message string) {
	responder.Refuse(c, fasthttp.StatusServiceUnavailable, responder.NotRun,
		responder.Problem{Code: code, Message: message, Place: "log"}, unreadyRetryAfter)
}

func (s *Server) change(c *fasthttp.RequestCtx, teams map[identifier.TeamID]bool) {
	var change configurer.Change
	if err := responder.Decode(c, &change); err != nil {
		s.refuse(c, fasthttp.StatusBadRequest, "bad_json", err.Error(), "body")
		return
	}
	if !teams[change.Team] {
		s.refuse(c, fasthttp.StatusForbidden, "forbidden", fmt.Sprintf("this key may not change the subtree of team %q", change.Team), "team")
		return
	}
	if findings := configurer.Check(change); len(findings) > 0 {
		s.refuse(c, fasthttp.StatusBadRequest, "bad_change", findings.Error(), "set")
		return
	}
	if s.isBehind(change) {
		s.notRun(c, "behind", "the change expects a revision that this node has not reached")
		return
	}
	proposed := tailer.ChangeProposed{Change: change, Deadline: time.Now().Add(changeTimeout)}
	call, answers := s.node.Call(1, func(id identifier.CallID) messenger.Event {
		proposed.Call = id
		return proposed
	})
	defer s.node.Close(call)
	a := tailer.ChangeAnswer{Outcome: responder.Unknown}
	select {
	case got := <-answers:
		a, _ = got.(tailer.ChangeAnswer)
	case <-time.After(changeTimeout + answerGrace):
	}
	s.answerChange(c, change, a)
}

// isBehind reports whether the node has not yet applied the revision that the change expects. In that case
// it cannot tell whether the operator may still change the subtree.
func (s *Server) isBehind(change configurer.Change) bool {
	settings := s.node.Settings()
	if settings == nil {
		return true
	}
	team, ok := settings.Teams[change.Team]
	return (ok && change.Expected > team.Revision) || (!ok && change.Expected > 0)
}

func (s *Server) answerChange(c *fasthttp.RequestCtx, change configurer.Change, a tailer.ChangeAnswer) {
	switch a.Outcome {
	case responder.Delivered:
		responder.JSON(c, fasthttp.StatusOK, a.Decision)
	case responder.NotRun:
		s.notRun(c, "not_published", "the change was not published: "+a.Reason)
	case responder.Refused:
		s.refuse(c, fasthttp.StatusConflict, "change_id_reused", a.Reason, "id")
	default:
		p := responder.Problem{Code: "unknown", Message: "retry with the same change id", Place: "log", Key: string(change.ID)}
		if a.Reason != "" {
			p.Message += ": " + a.Reason
		}
		responder.Refuse(c, fasthttp.StatusGatewayTimeout, responder.Unknown, p, unreadyRetryAfter)
	}
}
