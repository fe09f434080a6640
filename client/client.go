package client

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"

	"connectrpc.com/connect"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/api/fulmarfield/v1/fulmarfieldv1connect"
)

// ErrNoAnswer reports that no daemon responded; the outcome of a change is then unknown.
var ErrNoAnswer = errors.New("no daemon answered")

// Options configure a Client.
type Options struct {
	// Addresses of daemons' operator interfaces (IP:port), tried in order.
	Addresses []string
	Token     string
	// CAFile is the PEM file of the certificate authority to trust; it makes the client use TLS.
	CAFile          string
	CertificateFile string
	KeyFile         string
	Timeout         time.Duration
	Author          string
}

// Client calls the operator interfaces of daemons. Each call goes to the first daemon that responds.
type Client struct {
	options  Options
	services []fulmarfieldv1connect.OperatorServiceClient
}

// New returns a client. It returns an error if the TLS files cannot be read.
func New(o Options) (*Client, error) {
	tlsConfig, err := o.tlsConfig()
	if err != nil {
		return nil, err
	}
	scheme := "http"
	if tlsConfig != nil {
		scheme = "https"
	}
	httpClient := &http.Client{Transport: &http.Transport{TLSClientConfig: tlsConfig}}
	c := &Client{options: o}
	for _, address := range o.Addresses {
		c.services = append(c.services, fulmarfieldv1connect.NewOperatorServiceClient(httpClient, scheme+"://"+address,
			connect.WithInterceptors(tokenInterceptor(o.Token))))
	}
	return c, nil
}

func (o Options) tlsConfig() (*tls.Config, error) {
	if o.CAFile == "" {
		return nil, nil
	}
	pem, err := os.ReadFile(o.CAFile)
	if err != nil {
		return nil, fmt.Errorf("read CA file: %w", err)
	}
	c := &tls.Config{RootCAs: x509.NewCertPool(), MinVersion: tls.VersionTLS12}
	if !c.RootCAs.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("CA file %s has no certificate", o.CAFile)
	}
	if o.CertificateFile == "" {
		return c, nil
	}
	pair, err := tls.LoadX509KeyPair(o.CertificateFile, o.KeyFile)
	if err != nil {
		return nil, fmt.Errorf("read client certificate: %w", err)
	}
	c.Certificates = []tls.Certificate{pair}
	return c, nil
}

func tokenInterceptor(token string) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
			if token != "" {
				r.Header().Set("Authorization", "Bearer "+token)
			}
			return next(ctx, r)
		}
	}
}

// changeIDBytes is the number of random bytes of a change id. Its 48 bits make a collision among the
// 256 ids that the configuration head keeps very unlikely.
const changeIDBytes = 6

// NewChangeID returns a random change id.
func NewChangeID() string {
	b := make([]byte, changeIDBytes)
	if _, err := rand.Read(b); err != nil {
		return fmt.Sprintf("c-%d", time.Now().UnixNano())
	}
	return "c-" + hex.EncodeToString(b)
}

// Plan requests what a declaration would change, without changing anything.
func (c *Client) Plan(ctx context.Context, file string, declaration []byte) (*pb.PlanResponse, error) {
	return callFirstReachable(ctx, c, func(ctx context.Context, s fulmarfieldv1connect.OperatorServiceClient) (*connect.Response[pb.PlanResponse], error) {
		return s.Plan(ctx, connect.NewRequest(&pb.PlanRequest{FileName: file, Declaration: declaration}))
	})
}

// Apply commits a declaration. It may be called again with the same change id; the repeated call
// has no effect if the first one was committed.
func (c *Client) Apply(ctx context.Context, r *pb.ApplyRequest) (*pb.ApplyResponse, error) {
	r.Author = c.options.Author
	return callFirstReachable(ctx, c, func(ctx context.Context, s fulmarfieldv1connect.OperatorServiceClient) (*connect.Response[pb.ApplyResponse], error) {
		return s.Apply(ctx, connect.NewRequest(r))
	})
}

// Run sends one line of the language. The change id makes a repeated command idempotent. A daemon
// waits up to wait for a change to be in force.
func (c *Client) Run(ctx context.Context, line, changeID string, wait time.Duration) (*pb.RunResponse, error) {
	r := &pb.RunRequest{Line: line, ChangeId: changeID, Author: c.options.Author, WaitMs: uint32(wait.Milliseconds())}
	return callFirstReachable(ctx, c, func(ctx context.Context, s fulmarfieldv1connect.OperatorServiceClient) (*connect.Response[pb.RunResponse], error) {
		return s.Run(ctx, connect.NewRequest(r))
	})
}

// operatorCall makes one call to a daemon.
type operatorCall[T any] func(context.Context, fulmarfieldv1connect.OperatorServiceClient) (*connect.Response[T], error)

// callFirstReachable calls the daemons in order until one responds. Repeating a call at another
// daemon is safe, since changes carry their id. A refused token ends the attempts.
func callFirstReachable[T any](ctx context.Context, c *Client, call operatorCall[T]) (*T, error) {
	var errs []error
	for i, s := range c.services {
		callCtx, cancel := context.WithTimeout(ctx, c.options.Timeout)
		response, err := call(callCtx, s)
		cancel()
		if err == nil {
			return response.Msg, nil
		}
		if connect.CodeOf(err) == connect.CodeUnauthenticated {
			return nil, fmt.Errorf("%s refused the operator token: %w", c.options.Addresses[i], err)
		}
		errs = append(errs, fmt.Errorf("%s: %w", c.options.Addresses[i], err))
	}
	return nil, fmt.Errorf("%w: %w", ErrNoAnswer, errors.Join(errs...))
}
