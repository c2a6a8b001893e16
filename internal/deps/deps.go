//go:build deps

// Package deps keeps the agreed libraries in go.mod while the packages that use them are written.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/VictoriaMetrics/metrics"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/go-kit/kit/endpoint"
	_ "github.com/go-kit/kit/transport/http"
	_ "github.com/go-logr/logr"
	_ "github.com/go-logr/zapr"
	_ "github.com/google/uuid"
	_ "github.com/hashicorp/yamux"
	_ "github.com/jessevdk/go-flags"
	_ "github.com/joomcode/errorx"
	_ "github.com/rogpeppe/go-internal/testscript"
	_ "go.uber.org/zap"
	_ "gotest.tools/v3/assert"
	_ "pgregory.net/rapid"
)
