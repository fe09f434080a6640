// Package deps pins the libraries of the project until each has its first user.
package deps

import (
	_ "connectrpc.com/connect"
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/alecthomas/participle/v2"
	_ "github.com/cenkalti/backoff/v5"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/goccy/go-yaml"
	_ "github.com/jessevdk/go-flags"
	_ "github.com/onsi/ginkgo/v2"
	_ "github.com/onsi/gomega"
	_ "github.com/rcrowley/go-metrics"
	_ "github.com/rs/zerolog"
	_ "github.com/sebdah/goldie/v2"
	_ "go.uber.org/fx"
	_ "golang.org/x/net/ipv4"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/plot"
	_ "google.golang.org/protobuf/proto"
	_ "pgregory.net/rapid"
)
