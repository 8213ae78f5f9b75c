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

// changeTimeout is how long an operator waits for a change's verdict.
const changeTimeout = 8 * time.Second

// operator serves /operator/…: the configuration, the fleet's status and explanations.
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
	default:
		s.refuse(c, fasthttp.StatusNotFound, "unknown_path", "no such path", "path")
	}
}

// operatorTeams returns the teams whose subtree the request's key may change.
func (s *Server) operatorTeams(c *fasthttp.RequestCtx) map[identifier.TeamID]bool {
	hash := keyHash(c)
	teams := map[identifier.TeamID]bool{}
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

func (s *Server) tree(c *fasthttp.RequestCtx) {
	call, answers := s.node.Call(1, func(id identifier.CallID) messenger.Event { return tailer.TreeWanted{Call: id} })
	defer s.node.Close(call)
	select {
	case tree := <-answers:
		responder.JSON(c, fasthttp.StatusOK, tree)
	case <-time.After(changeTimeout):
		s.refuse(c, fasthttp.StatusServiceUnavailable, "no_answer", "the node did not answer", "entry")
	}
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

func (s *Server) answerChange(c *fasthttp.RequestCtx, change configurer.Change, a tailer.ChangeAnswer) {
	switch a.Outcome {
	case responder.Delivered:
		responder.JSON(c, fasthttp.StatusOK, a.Verdict)
	case responder.NotRun:
		responder.Refuse(c, fasthttp.StatusServiceUnavailable, responder.NotRun,
			responder.Problem{Code: "not_published", Message: "the change was not published", Place: "log"}, retryUnready)
	default:
		responder.Refuse(c, fasthttp.StatusGatewayTimeout, responder.Unknown,
			responder.Problem{Code: "unknown", Message: "ask again with the same change id", Place: "log", Key: string(change.ID)}, retryUnready)
	}
}
