package lab

// tokenBytes is the memory that a token takes at one layer, for the requests in progress.
const tokenBytes = 590_000 / 80

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

// PublishDrafting writes a configuration with two drafting services, each with a model of its own: the first has large layers in
// all, the second few. Their routes are /name/.
func (l *Lab) PublishDrafting(version int, layers map[string]int) error {
	var routes, services []any
	for name, n := range layers {
		routes = append(routes, map[string]any{
			"name": name, "hostname": Host, "path_prefix": "/" + name + "/", "kind": "streaming", "timeout_ms": 20000, "target_latency_ms": 500,
			"priority": 1, "service": name, "max_attempts": 2, "public": true, "sticky_sessions": true, "resumable": true, "gap_aim_ms": 200,
		})
		var kinds []any
		for kind, mb := range Kinds {
			kinds = append(kinds, map[string]any{"name": kind, "mb": mb, "pace": 1.4, "read_x": 1})
		}
		services = append(services, map[string]any{"name": name, "health_path": "/healthz", "max_connections": 978, "protocol": "h1", "tls": false, "engine": map[string]any{
			"slots": 192, "kv_capacity": 100000, "kv_token_bytes": tokenBytes * n, "link_mbps": 480000, "stride": 2, "models": []any{map[string]any{"name": "model-" + name, "load_s": 14}},
			"step_ms": 0.85, "read_per_s": 196000, "chunk": 512, "report_lag_ms": 200, "usual": map[string]any{"prompt": 772, "answer": 167},
			"layers": n, "layer_mb": layerMB, "act_bytes": 29500, "pipe_mbps": 13000, "kinds": kinds,
		}})
	}
	l.Note("operator: version %d is confirmed, services and their layers %v", version, layers)
	return l.Store.PutConfiguration(map[string]any{
		"version": version, "routes": routes, "services": services, "tenants": []any{},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}
