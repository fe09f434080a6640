package daemon

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/fulmarfield/fulmarfield/telemetry"
)

// writeCertificate writes a self-signed certificate, which is its own authority, and its key.
func writeCertificate(g Gomega, dir, name string) (certificate, key string) {
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	g.Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	g.Expect(err).NotTo(HaveOccurred())
	keyDER, err := x509.MarshalECPrivateKey(private)
	g.Expect(err).NotTo(HaveOccurred())
	certificate, key = filepath.Join(dir, name+".pem"), filepath.Join(dir, name+".key")
	g.Expect(os.WriteFile(certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600)).To(Succeed())
	g.Expect(os.WriteFile(key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}), 0o600)).To(Succeed())
	return certificate, key
}

// Guards against an operators' interface that accepts a call without a valid credential, refuses a
// valid one, or does not count a refusal.
func TestOperatorAccess(t *testing.T) {
	const token = "a token of 16 bytes"
	dir := t.TempDir()
	g := NewWithT(t)
	serverCert, serverKey := writeCertificate(g, dir, "server")
	operatorCert, operatorKey := writeCertificate(g, dir, "operator")
	strangerCert, strangerKey := writeCertificate(g, dir, "stranger")
	for name, c := range map[string]struct {
		token, clientCA, send, cert, key string
		status                           int // 0: the handshake fails
		refused                          int64
	}{
		"loopback without a credential": {status: 200},
		"right token":                   {token: token, send: token, status: 200},
		"wrong token":                   {token: token, send: "another token, as long", status: 401, refused: 1},
		"no token":                      {token: token, status: 401, refused: 1},
		"certificate":                   {clientCA: operatorCert, cert: operatorCert, key: operatorKey, status: 200},
		"no certificate":                {clientCA: operatorCert},
		"certificate of a stranger":     {clientCA: operatorCert, cert: strangerCert, key: strangerKey},
		"either: certificate":           {token: token, clientCA: operatorCert, cert: operatorCert, key: operatorKey, status: 200},
		"either: token":                 {token: token, clientCA: operatorCert, send: token, status: 200},
		"either: none":                  {token: token, clientCA: operatorCert, status: 401, refused: 1},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := &Settings{TLSCertificate: serverCert, TLSKey: serverKey, TLSClientCA: c.clientCA}
			if c.token != "" {
				s.OperatorTokenFile = "set"
			}
			config, err := s.tlsConfig()
			g.Expect(err).NotTo(HaveOccurred())
			counters := telemetry.NewCounters()
			server := httptest.NewUnstartedServer(operatorAccess{c.token, counters, zerolog.Nop()}.
				requireCredential(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})))
			server.TLS, server.Config.ErrorLog = config, nil
			server.StartTLS()
			defer server.Close()
			roots := x509.NewCertPool()
			root, err := os.ReadFile(serverCert)
			g.Expect(err).NotTo(HaveOccurred())
			roots.AppendCertsFromPEM(root)
			clientTLS := &tls.Config{RootCAs: roots}
			if c.cert != "" {
				pair, err := tls.LoadX509KeyPair(c.cert, c.key)
				g.Expect(err).NotTo(HaveOccurred())
				clientTLS.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &pair, nil }
			}
			r, err := http.NewRequest(http.MethodGet, server.URL, nil)
			g.Expect(err).NotTo(HaveOccurred())
			if c.send != "" {
				r.Header.Set("Authorization", "Bearer "+c.send)
			}
			transport := &http.Transport{TLSClientConfig: clientTLS}
			defer transport.CloseIdleConnections()
			response, err := (&http.Client{Transport: transport}).Do(r)
			if c.status == 0 {
				g.Expect(err).To(HaveOccurred())
				return
			}
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(response.Body.Close()).To(Succeed())
			g.Expect(response.StatusCode).To(Equal(c.status))
			g.Expect(counters.Get("refusal.operator_token")).To(Equal(c.refused))
		})
	}
}

// Guards against settings that expose the operators' interface to the network without a credential.
func TestOpenInterfaceIsLoopbackOnly(t *testing.T) {
	g := NewWithT(t)
	open := Settings{OperatorAddress: "192.0.2.1:7004"}
	g.Expect(open.checkAccess()).To(MatchError(ContainSubstring("--operator-address")))
	open.OperatorAddress = "127.0.0.1:7004"
	g.Expect(open.checkAccess()).To(Succeed())
	token := Settings{OperatorAddress: "192.0.2.1:7004", OperatorTokenFile: "token"}
	g.Expect(token.checkAccess()).To(Succeed())
}
