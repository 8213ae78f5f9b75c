package commander

import (
	"encoding/hex"
	"strings"

	"github.com/cockroachdb/errors"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/optionparser"
)

const (
	maxShards           = 64
	maxDrafts           = 1_000_000
	maxLogBatch         = 1000
	maxHistoryMegabytes = 65_536
	hashBytes           = 32

	maxLayersPerSecond = 1_000_000

	maxCallerMegabytes   = 1_048_576
	maxAnswerMegabytes   = 1_048_576
	maxCallerConnections = 10_000_000
)

// Options returns the settings of the node.
func Options() []optionparser.Option {
	return []optionparser.Option{
		{Name: "node", Usage: "id of this node", Check: optionparser.IsPresent},
		{Name: "data-centre", Usage: "data centre of this node's VM", Check: optionparser.IsPresent},
		{Name: "listen", Default: "127.0.0.1:8080", Usage: "address for callers and operators, host:port", Check: optionparser.IsAddress},
		{Name: "peer-listen", Default: "127.0.0.1:8081", Usage: "address for the other nodes, host:port, as in the VM list", Check: optionparser.IsAddress},
		{Name: "platform", Usage: "address of the platform's log and VM list, host:port", Check: optionparser.IsAddress},
		{Name: "operator-keys", Usage: "team=hex SHA-256 of a bearer key, separated by commas; valid even without a configuration", Check: areKeys},
		{Name: "peers", Usage: "peer addresses of other nodes, host:port, separated by commas; asked when the platform is unreachable at start", Check: areAddresses},
		{Name: "log-keep", Default: "10m", Usage: "how long the platform's log keeps records; determines how often snapshots are written", Check: optionparser.IsDuration},
		{Name: "shards", Default: "1", Usage: "number of reducers that divide the drafts among them, 1 to 64; each sees only its own share of the load on targets", Check: optionparser.IsNumber(1, maxShards)},
		{Name: "draft-limit", Default: "2000", Usage: "maximum number of drafts in progress at this node", Check: optionparser.IsNumber(1, maxDrafts)},
		{Name: "recovery", Default: "replay", Usage: "how a lost stage is recovered: replay its inputs, import its last exported KV cache, or restart the draft", Check: optionparser.IsOneOf("replay", "import", "restart")},
		{Name: "log-batch", Default: "256", Usage: "maximum number of records per append to the log, 1 to 1000; 1 disables group commit", Check: optionparser.IsNumber(1, maxLogBatch)},
		{Name: "history-megabytes", Default: "256", Usage: "memory limit in MB for the inputs and KV caches that are kept for recovery", Check: optionparser.IsNumber(1, maxHistoryMegabytes)},
		{Name: "weight-layers-per-second", Default: "100", Usage: "layers per second that the weight store can deliver; loads are ordered no faster", Check: optionparser.IsNumber(1, maxLayersPerSecond)},
		callerMemory,
		answerMemory,
		callerConnections,
		{Name: "balancer-lag", Default: "2s", Usage: "how long a stopping node still accepts requests, so that the load balancer can detect that it is unready", Check: optionparser.IsDuration},
		{Name: "stop-limit", Default: "60s", Usage: "maximum time a stopping node waits for requests in progress", Check: optionparser.IsDuration},
		{Name: "tls-cert", Usage: "certificate file for callers, PEM; plain HTTP when empty; reloaded on change"},
		{Name: "tls-key", Usage: "private key file of tls-cert, PEM"},
		{Name: "peer-ca", Usage: "CA certificate file for the nodes' certificates, PEM; plain TCP between nodes when empty"},
		{Name: "peer-cert", Usage: "certificate file of this node, for the name fuchsiabridge-node, PEM; reloaded on change"},
		{Name: "peer-key", Usage: "private key file of peer-cert, PEM"},
		{Name: "trace-endpoint", Usage: "OTLP over HTTP endpoint for spans, host:port; disabled when empty"},
		{Name: "check", Default: "false", Usage: "validate the settings and exit", Check: optionparser.IsBool},
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

// splitList splits a comma-separated list. An empty text yields an empty list.
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
		if !ok || team == "" || err != nil || len(raw) != hashBytes {
			return nil, errors.Newf("%q must be team=hex SHA-256", pair)
		}
		keys[identifier.TeamID(team)] = strings.ToLower(hash)
	}
	return keys, nil
}
