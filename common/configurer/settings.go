package configurer

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"fuchsiabridge.example/common/identifier"
)

// Defaults for values that a team does not set.
const (
	DefaultWeight   = 1
	DefaultDeadline = 30 * time.Second
	DefaultChoice   = "expected"
)

// Account is one client account.
type Account struct {
	ID     identifier.AccountID
	Team   identifier.TeamID
	Weight int
	// RequestsPerSecond is the rate limit at one node; 0 means no limit.
	RequestsPerSecond int
}

// Service is one plain service, that is, one that runs no model layers.
type Service struct {
	ID         identifier.ServiceID
	Idempotent bool
	// AskPath is the service's path that reports whether the call with a given key ran.
	AskPath string
}

// Class holds the settings of one request class.
type Class struct {
	Priority int
	// Deadline is the time allowed from a request's arrival to its completion.
	Deadline time.Duration
}

// Team holds the typed settings of one team's subtree.
type Team struct {
	// Revision counts the accepted changes.
	Revision identifier.Revision
	// Models maps each model to its number of layers.
	Models   map[identifier.ModelID]identifier.Layer
	Services map[identifier.ServiceID]Service
	Classes  map[identifier.Class]Class
	// Operators maps the name of each operator to the hex SHA-256 of the operator's bearer key.
	Operators map[string]string
	// Choice is the policy by which a pipeline is selected for a request.
	Choice string

	// accounts holds the accounts that have a key, sorted by name.
	accounts []keyedAccount
}

type keyedAccount struct {
	key     string
	account Account
}

// Settings is the typed, read-only view of a tree.
type Settings struct {
	Offset identifier.Offset
	// Accounts maps the hex SHA-256 of a bearer key to its account.
	Accounts map[string]Account
	Teams    map[identifier.TeamID]*Team
}

// Settings returns the typed view of the tree. It leaves out paths and values that the rules of
// this version reject, such as those added by a newer version. previous is an earlier view of the
// same tree, or nil; teams whose revision has not changed since then are reused from it.
func (t *Tree) Settings(previous *Settings) *Settings {
	s := &Settings{
		Offset:   t.Offset,
		Accounts: map[string]Account{},
		Teams:    map[identifier.TeamID]*Team{},
	}
	rules := Rules()
	for _, id := range slices.Sorted(maps.Keys(t.Teams)) {
		team, ok := previous.team(id)
		if !ok || team.Revision != t.Teams[id].Revision {
			team = newTeam(rules, id, t.Teams[id])
		}
		s.addTeam(id, team)
	}
	return s
}

func (s *Settings) team(id identifier.TeamID) (*Team, bool) {
	if s == nil {
		return nil, false
	}
	team, ok := s.Teams[id]
	return team, ok
}

// addTeam adds a team. A key that is set for several accounts belongs to the first one, ordered by
// team and account name, so that all nodes map it to the same account.
func (s *Settings) addTeam(id identifier.TeamID, team *Team) {
	s.Teams[id] = team
	for _, keyed := range team.accounts {
		if _, ok := s.Accounts[keyed.key]; !ok {
			s.Accounts[keyed.key] = keyed.account
		}
	}
}

func newTeam(rules []Rule, id identifier.TeamID, sub *Subtree) *Team {
	team := &Team{
		Revision:  sub.Revision,
		Models:    map[identifier.ModelID]identifier.Layer{},
		Services:  map[identifier.ServiceID]Service{},
		Classes:   map[identifier.Class]Class{},
		Operators: map[string]string{},
		Choice:    DefaultChoice,
	}
	accounts, keys := map[string]Account{}, map[string]string{}
	for path, value := range sub.Values {
		if checkPath(rules, path, value) != nil {
			continue
		}
		parts := strings.Split(path, "/")
		switch parts[0] {
		case "accounts":
			setAccount(accounts, keys, id, parts, value)
		case "operators":
			team.Operators[parts[1]] = decode[string](value)
		case "models":
			team.Models[identifier.ModelID(parts[1])] = identifier.Layer(decode[int](value))
		case "services":
			team.setService(parts, value)
		case "classes":
			team.setClass(parts, value)
		case "policy":
			team.Choice = decode[string](value)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(keys)) {
		team.accounts = append(team.accounts, keyedAccount{keys[name], accounts[name]})
	}
	return team
}

func setAccount(accounts map[string]Account, keys map[string]string, team identifier.TeamID, parts []string, value json.RawMessage) {
	a, ok := accounts[parts[1]]
	if !ok {
		a = Account{ID: identifier.AccountID(string(team) + "/" + parts[1]), Team: team, Weight: DefaultWeight}
	}
	switch parts[2] {
	case "key_sha256":
		keys[parts[1]] = strings.ToLower(decode[string](value))
	case "weight":
		a.Weight = decode[int](value)
	case "requests_per_second":
		a.RequestsPerSecond = decode[int](value)
	}
	accounts[parts[1]] = a
}

func (t *Team) setService(parts []string, value json.RawMessage) {
	id := identifier.ServiceID(parts[1])
	service := t.Services[id]
	service.ID = id
	switch parts[2] {
	case "idempotent":
		service.Idempotent = decode[bool](value)
	case "ask_path":
		service.AskPath = decode[string](value)
	}
	t.Services[id] = service
}

func (t *Team) setClass(parts []string, value json.RawMessage) {
	id := identifier.Class(parts[1])
	class, ok := t.Classes[id]
	if !ok {
		class.Deadline = DefaultDeadline
	}
	switch parts[2] {
	case "priority":
		class.Priority = decode[int](value)
	case "deadline_ms":
		class.Deadline = time.Duration(decode[int](value)) * time.Millisecond
	}
	t.Classes[id] = class
}

// Class returns the settings of a class, or the defaults if the team does not set any.
func (t *Team) Class(id identifier.Class) Class {
	if class, ok := t.Classes[id]; ok {
		return class
	}
	return Class{Deadline: DefaultDeadline}
}

func decode[T any](value json.RawMessage) T {
	var v T
	_ = json.Unmarshal(value, &v)
	return v
}
