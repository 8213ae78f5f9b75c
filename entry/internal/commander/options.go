package commander

import (
	"encoding/hex"
	"strings"

	"github.com/cockroachdb/errors"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/optionparser"
)

const (
	maxShards   = 64
	maxDrafts   = 1_000_000
	maxLogBatch = 1000
	maxHistory  = 65_536
	hashLength  = 32

	maxLayerRate = 1_000_000
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
		{Name: "peers", Usage: "peer addresses of other nodes, host:port by comma, to ask when the platform cannot be reached at the start", Check: areAddresses},
		{Name: "log-keep", Default: "10m", Usage: "time for which the platform's log keeps records; snapshots are written by it", Check: optionparser.IsDuration},
		{Name: "shards", Default: "1", Usage: "reducers that share the drafts, 1 to 64; each knows only its own part of the load on targets", Check: optionparser.IsNumber(1, maxShards)},
		{Name: "draft-limit", Default: "2000", Usage: "drafts in progress at this node", Check: optionparser.IsNumber(1, maxDrafts)},
		{Name: "recovery", Default: "replay", Usage: "how a lost stage is recovered: replay its inputs, import its last exported KV cache, or restart the draft", Check: optionparser.IsOneOf("replay", "import", "restart")},
		{Name: "log-batch", Default: "256", Usage: "records in one append to the log, 1 to 1000; 1 turns group commit off", Check: optionparser.IsNumber(1, maxLogBatch)},
		{Name: "history-megabytes", Default: "256", Usage: "memory for the inputs and KV caches that recovery uses", Check: optionparser.IsNumber(1, maxHistory)},
		{Name: "weight-layers-per-second", Default: "100", Usage: "layers that the weight store gives out a second; loads are ordered no faster", Check: optionparser.IsNumber(1, maxLayerRate)},
		{Name: "balancer-lag", Default: "2s", Usage: "time for which a stopping node still accepts requests, so that the balancer can see it is unready", Check: optionparser.IsDuration},
		{Name: "stop-limit", Default: "60s", Usage: "longest time a stopping node waits for requests in progress", Check: optionparser.IsDuration},
		{Name: "tls-cert", Usage: "file of the certificate for callers, PEM; plain HTTP when empty; read again when it changes"},
		{Name: "tls-key", Usage: "file of the key of tls-cert, PEM"},
		{Name: "peer-ca", Usage: "file of the authority that signs the nodes' certificates, PEM; plain TCP between nodes when empty"},
		{Name: "peer-cert", Usage: "file of this node's certificate for the name fuchsiabridge-node, PEM; read again when it changes"},
		{Name: "peer-key", Usage: "file of the key of peer-cert, PEM"},
		{Name: "trace-endpoint", Usage: "OTLP over HTTP endpoint for spans, host:port; none when empty"},
		{Name: "check", Default: "false", Usage: "check the settings and stop", Check: optionparser.IsBool},
	}
}

func areAddresses(value string) error {
	for _, address := range splitList(value) {
		if err := optionparser.IsAddress(address); err != nil {
			return errors.Wrapf(err, "%q", address)
		}
	}
	return nil
}

// splitList splits a list by comma; an empty text is an empty list.
func splitList(value string) []string {
	if value == "" {
		return nil
	}
	return strings.Split(value, ",")
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
