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

// ErrNoAnswer reports that no daemon answered; for a change the outcome is then unknown.
var ErrNoAnswer = errors.New("no daemon answered")

// Options say how to reach the daemons.
type Options struct {
	// Addresses of daemons' operator interfaces (IP:port), tried in order.
	Addresses []string
	Token     string
	// CAFile makes the client use TLS and trust this authority.
	CAFile          string
	CertificateFile string
	KeyFile         string
	Timeout         time.Duration
	Author          string
}

// Client speaks to the first daemon that answers.
type Client struct {
	options  Options
	services []fulmarfieldv1connect.OperatorServiceClient
}

// New returns a client. It returns an error for unreadable TLS files.
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

// changeIDBytes makes ids of 48 random bits, enough for the 256 ids that the head keeps.
const changeIDBytes = 6

// NewChangeID returns a random id for a change.
func NewChangeID() string {
	b := make([]byte, changeIDBytes)
	if _, err := rand.Read(b); err != nil {
		return fmt.Sprintf("c-%d", time.Now().UnixNano())
	}
	return "c-" + hex.EncodeToString(b)
}

// Plan asks what a declaration would change.
func (c *Client) Plan(ctx context.Context, file string, declaration []byte) (*pb.PlanResponse, error) {
	return tryEach(ctx, c, func(ctx context.Context, s fulmarfieldv1connect.OperatorServiceClient) (*connect.Response[pb.PlanResponse], error) {
		return s.Plan(ctx, connect.NewRequest(&pb.PlanRequest{FileName: file, Declaration: declaration}))
	})
}

// Apply commits a declaration. It may be called again with the same change id, which changes
// nothing when the first call took effect.
func (c *Client) Apply(ctx context.Context, r *pb.ApplyRequest) (*pb.ApplyResponse, error) {
	r.Author = c.options.Author
	return tryEach(ctx, c, func(ctx context.Context, s fulmarfieldv1connect.OperatorServiceClient) (*connect.Response[pb.ApplyResponse], error) {
		return s.Apply(ctx, connect.NewRequest(r))
	})
}

// Run sends one line of the language. The change id makes a repeated command idempotent.
func (c *Client) Run(ctx context.Context, line, changeID string, wait time.Duration) (*pb.RunResponse, error) {
	r := &pb.RunRequest{Line: line, ChangeId: changeID, Author: c.options.Author, WaitMs: uint32(wait.Milliseconds())}
	return tryEach(ctx, c, func(ctx context.Context, s fulmarfieldv1connect.OperatorServiceClient) (*connect.Response[pb.RunResponse], error) {
		return s.Run(ctx, connect.NewRequest(r))
	})
}

type call[T any] func(context.Context, fulmarfieldv1connect.OperatorServiceClient) (*connect.Response[T], error)

// tryEach asks the daemons in order until one answers. A repeat at another daemon is safe,
// since changes carry their id.
func tryEach[T any](ctx context.Context, c *Client, do call[T]) (*T, error) {
	var errs []error
	for i, s := range c.services {
		callCtx, cancel := context.WithTimeout(ctx, c.options.Timeout)
		response, err := do(callCtx, s)
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
