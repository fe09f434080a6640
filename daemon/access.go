package daemon

import (
	"crypto/subtle"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/http"
	"os"
	"strings"

	"github.com/rs/zerolog"

	"github.com/fulmarfield/fulmarfield/internal/setting"
	"github.com/fulmarfield/fulmarfield/telemetry"
)

// operatorAccess refuses operators' calls without the operator token or a client certificate, and
// counts the refusals.
type operatorAccess struct {
	token    string
	counters *telemetry.Counters
	logger   zerolog.Logger
}

// requireCredential returns a handler that passes a call to next if no token is set, if the call
// carries the token, or if the listener verified a client certificate.
func (a operatorAccess) requireCredential(next http.Handler) http.Handler {
	if a.token == "" {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !a.hasToken(r) && !hasCertificate(r) {
			a.counters.Count("refusal.operator_token")
			a.logger.Warn().Str("event", eventOperatorRefused).Str("remote", r.RemoteAddr).Msg("")
			http.Error(w, "operator token is missing or wrong", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (a operatorAccess) hasToken(r *http.Request) bool {
	bearerToken, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return found && subtle.ConstantTimeCompare([]byte(bearerToken), []byte(a.token)) == 1
}

func hasCertificate(r *http.Request) bool {
	return r.TLS != nil && len(r.TLS.VerifiedChains) > 0
}

// tlsConfig returns the TLS configuration of the operators' interface, or nil if the settings name no
// certificate.
func (s *Settings) tlsConfig() (*tls.Config, error) {
	if s.TLSCertificate == "" {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(s.TLSCertificate, s.TLSKey)
	if err != nil {
		return nil, setting.NewError("", "tls-certificate", s.TLSCertificate, "a PEM certificate with its key: "+err.Error())
	}
	c := &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS12}
	if s.TLSClientCA == "" {
		return c, nil
	}
	pem, err := os.ReadFile(s.TLSClientCA)
	if err != nil {
		return nil, setting.NewError("", "tls-client-ca", s.TLSClientCA, "a readable file: "+err.Error())
	}
	c.ClientCAs = x509.NewCertPool()
	if !c.ClientCAs.AppendCertsFromPEM(pem) {
		return nil, setting.NewError("", "tls-client-ca", s.TLSClientCA, "a PEM file with certificates")
	}
	c.ClientAuth = tls.RequireAndVerifyClientCert
	if s.OperatorTokenFile != "" {
		// A token suffices, so that a certificate is optional.
		c.ClientAuth = tls.VerifyClientCertIfGiven
	}
	return c, nil
}

// listenError wraps an error of a listen call with the flag that set the address.
func listenError(flag, address string, err error) error {
	return fmt.Errorf("--%s: cannot listen on %s: %w", flag, address, err)
}
