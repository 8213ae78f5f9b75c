package commander

import (
	"encoding/hex"
	"strings"

	"github.com/cockroachdb/errors"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/optionparser"
)

const (
	maxShards  = 64
	maxDrafts  = 1_000_000
	hashLength = 32
)

// Options returns the table of the node's settings.
func Options() []optionparser.Option {
	return []optionparser.Option{
		{Name: "node", Usage: "id of this node", Check: optionparser.IsPresent},
		{Name: "data-centre", Usage: "data centre of this node's VM", Check: optionparser.IsPresent},
		{Name: "listen", Default: "127.0.0.1:8080", Usage: "address for callers and operators, host:port", Check: optionparser.IsAddress},
		{Name: "peer-listen", Default: "127.0.0.1:8081", Usage: "address for the other nodes, host:port, as the VM list has it", Check: optionparser.IsAddress},
		{Name: "platform", Usage: "address of the platform's log and VM list, host:port", Check: optionparser.IsAddress},
		{Name: "operator-keys", Usage: "team=hex SHA-256 of a bearer key, several by comma; these operators need no configuration", Check: areKeys},
		{Name: "shards", Default: "1", Usage: "reducers that share the drafts, 1 to 64; each knows only its own part of the load on targets", Check: optionparser.IsNumber(1, maxShards)},
		{Name: "draft-limit", Default: "2000", Usage: "drafts in progress at this node", Check: optionparser.IsNumber(1, maxDrafts)},
		{Name: "balancer-lag", Default: "2s", Usage: "time for which a stopping node still accepts requests, so that the balancer can see it is unready", Check: optionparser.IsDuration},
		{Name: "stop-limit", Default: "60s", Usage: "longest time a stopping node waits for requests in progress", Check: optionparser.IsDuration},
		{Name: "trace-endpoint", Usage: "OTLP over HTTP endpoint for spans, host:port; none when empty"},
		{Name: "check", Default: "false", Usage: "check the settings and stop", Check: optionparser.IsBool},
	}
}

func areKeys(value string) error {
	_, err := parseKeys(value)
	return err
}

func parseKeys(value string) (map[identifier.TeamID]string, error) {
	keys := map[identifier.TeamID]string{}
	if value == "" {
		return keys, nil
	}
	for _, pair := range strings.Split(value, ",") {
		team, hash, ok := strings.Cut(pair, "=")
		raw, err := hex.DecodeString(hash)
		if !ok || team == "" || err != nil || len(raw) != hashLength {
			return nil, errors.Newf("%q must be team=hex SHA-256", pair)
		}
		keys[identifier.TeamID(team)] = strings.ToLower(hash)
	}
	return keys, nil
}
