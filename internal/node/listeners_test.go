package node

import (
	"bytes"
	"context"
	"crypto/sha256"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/config"
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/peer"
)

// Guards against listeners that do not apply the operator tokens, the peer secret
// or the limits of the settings file.
func TestListenersEnforceAuthentication(t *testing.T) {
	g := gomega.NewWithT(t)
	const platform = "http://127.0.0.1:1" // nothing listens there
	secret := core.NewSecret(bytes.Repeat([]byte("s"), 32))
	n := New(&config.Node{
		ID: "n", DataCentre: "d", Region: "r", Timeouts: config.DefaultTimeouts(),
		Listen:      config.Listen{Callers: "127.0.0.1:0", Operators: "127.0.0.1:0", Peers: "127.0.0.1:0"},
		Operators:   config.Operators{TokenDigests: [][sha256.Size]byte{sha256.Sum256([]byte("token"))}},
		Platform:    config.Platform{Table: platform, Objects: platform, Weights: platform, Fleet: platform},
		PeerSecrets: []core.Secret{secret},
	}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	operatorsL, peersL, err := n.listen()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	callersL, err := n.openCallers()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	n.transport.Start(peersL)
	defer n.transport.Close()
	go func() { _ = n.callersServer.Serve(callersL) }()
	go func() { _ = n.operatorsServer.Serve(operatorsL) }()
	defer n.callersServer.Close()
	defer n.operatorsServer.Close()

	status := func(l net.Listener, path, token string) int {
		r, err := http.NewRequest(http.MethodGet, "http://"+l.Addr().String()+path, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		r.Header.Set("Authorization", "Bearer "+token)
		response, err := http.DefaultClient.Do(r)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		defer response.Body.Close()
		g.Expect(response.Header.Get("X-Request-Id")).To(gomega.HavePrefix("n-"))
		return response.StatusCode
	}
	g.Expect(status(operatorsL, "/admin/v1/version", "other")).To(gomega.Equal(http.StatusUnauthorized))
	g.Expect(status(operatorsL, "/admin/v1/version", "token")).To(gomega.Equal(http.StatusOK))
	g.Expect(status(operatorsL, "/healthz", "")).To(gomega.Equal(http.StatusOK))
	g.Expect(status(callersL, "/healthz", "")).To(gomega.Equal(http.StatusOK))

	call := func(secrets ...core.Secret) error {
		client := peer.New("m", slog.New(slog.DiscardHandler))
		client.SetSecrets(secrets)
		defer client.Close()
		client.SetAddress("n", peersL.Addr().String())
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		return client.Call(ctx, "n", "no such kind", nil, nil)
	}
	g.Expect(call(secret)).To(gomega.MatchError(gomega.ContainSubstring("unknown message kind")))
	g.Expect(call()).To(gomega.MatchError(peer.ErrUnavailable))
	g.Expect(call(core.NewSecret([]byte(strings.Repeat("t", 32))))).To(gomega.MatchError(peer.ErrUnavailable))
}
