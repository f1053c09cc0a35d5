//go:build review

package main

// route returns a route of a manifest, with the figures of the Kalamu site.
func route(name, host, prefix, kind, service string) map[string]any {
	r := map[string]any{
		"name": name, "host": host, "prefix": prefix, "type": kind, "timeout_ms": 800, "latency_target_ms": 100, "priority": 2,
		"service": service, "max_attempts": 2, "public": false, "sticky": false,
	}
	switch kind {
	case "non_idempotent":
		r["max_attempts"] = 1
	case "streaming":
		r["timeout_ms"], r["latency_target_ms"], r["priority"] = 6000, 400, 1
		r["sticky"], r["resumable"], r["target_gap_ms"] = true, true, 300
	}
	return r
}

func plainService(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false}
}

func tenant(name string, keys ...string) map[string]any {
	return map[string]any{"name": name, "api_keys": keys, "priority": 1}
}

func manifest(version int, routes, services, tenants []map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services, "tenants": tenants,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}
