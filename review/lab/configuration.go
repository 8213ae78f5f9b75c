package lab

// Host is the host of all routes.
const Host = "ficu95.example"

// Tenant is a client account and its keys.
type Tenant struct {
	Name string
	Keys []string
}

// Publish writes a version of the configuration to the store: a ledger service with idempotent, non-idempotent and
// public routes, the limits of the Dakar deployment, and the given tenants.
func (l *Lab) Publish(version int, tenants ...Tenant) error {
	route := func(name, kind string, attempts int, isPublic bool) map[string]any {
		return map[string]any{
			"name": name, "hostname": Host, "path_prefix": "/" + name + "/", "kind": kind, "timeout_ms": 20000, "target_latency_ms": 1000,
			"priority": 1, "service": "ledger", "max_attempts": attempts, "public": isPublic,
		}
	}
	accounts := []any{}
	for _, t := range tenants {
		accounts = append(accounts, map[string]any{"name": t.Name, "api_keys": append([]string{}, t.Keys...), "priority": 1})
	}
	l.Note("operator: version %d is confirmed, tenants %v", version, tenants)
	return l.Store.PutConfiguration(map[string]any{
		"version":  version,
		"routes":   []any{route("post", "unsafe", 1, false), route("view", "safe", 2, false), route("open", "safe", 2, true)},
		"services": []any{map[string]any{"name": "ledger", "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  accounts,
	})
}
