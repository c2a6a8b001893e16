package main

import (
	"context"
	"encoding/json"
	"net/http"
	"time"
)

// The route of the scenarios.
const (
	routeHost   = "plates.example"
	routePrefix = "/plates/"
	tenantKey   = "k5jw0e9d2mq8x7hs1v3b"
	serviceName = "desk"
	maxAttempts = 3
)

type object = map[string]any

// configuration returns a configuration with a route, a service without a spare pool, and a tenant.
func configuration() object {
	return object{
		"version": 1,
		"routes": []any{object{
			"name": "r-plates", "host": routeHost, "pathPrefix": routePrefix, "kind": "non_idempotent", "timeoutMs": 3000,
			"targetLatencyMs": 600, "priority": 0, "service": serviceName, "maxAttempts": maxAttempts, "stretch": 1.6, "public": false,
		}},
		"services": []any{object{
			"name": serviceName, "healthPath": "/healthz", "maxConnections": 64, "protocol": "h1", "tls": false,
			"enforcesCapacity": false, "spare": false,
		}},
		"limits": object{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{object{
			"name": "shop", "apiKeys": []any{tenantKey}, "priority": 1, "weight": 1,
			"cap": object{"cpu": 0, "memMb": 0, "gpu": 0},
		}},
	}
}

// callFront sends a call of a client about a job.
func (r *rig) callFront(ctx context.Context, front int, method, id string, body any) (int, []byte, error) {
	header := map[string]string{
		"Host": routeHost, "Authorization": "Bearer " + tenantKey, "X-Hibiscusroute-Timeout-Ms": "3000",
	}
	status, data, err := call(ctx, method, "http://"+r.fronts[front%len(r.fronts)].address(frontPort)+routePrefix+id, header, body, 3*time.Second)
	r.rec.printf("client: %s %s at front-%d -> %d %s, error %v", method, id, front%len(r.fronts)+1, status, data, err)
	return status, data, err
}

// submit hands a job in until a front accepts it.
func (r *rig) submit(ctx context.Context, id string, body any) error {
	n := 0
	return until(ctx, 20*time.Second, func() bool {
		status, _, err := r.callFront(ctx, n, http.MethodPost, id, body)
		n++
		return err == nil && status == http.StatusOK
	})
}

// state asks for the state of a job, and returns it or an empty string.
func (r *rig) state(ctx context.Context, id string) string {
	status, data, err := r.callFront(ctx, 0, http.MethodGet, id, nil)
	answer := struct{ State string }{}
	if err != nil || status != http.StatusOK || json.Unmarshal(data, &answer) != nil {
		return ""
	}
	return answer.State
}
