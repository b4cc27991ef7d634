package core

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

// Guards against secrets in logs and dumps when a value that contains them is
// formatted or encoded.
func TestSecretIsNotPrinted(t *testing.T) {
	g := gomega.NewWithT(t)
	type holder struct {
		Exported Secret
		hidden   []Secret
	}
	secret := NewSecret([]byte("very secret value"))
	h := &holder{secret, []Secret{secret}}
	var out strings.Builder
	fmt.Fprintf(&out, "%v %+v %#v %s %q %x", secret, h, h, secret, h, h)
	slog.New(slog.NewTextHandler(&out, nil)).Info("x", "secret", secret, "holder", h)
	slog.New(slog.NewJSONHandler(&out, nil)).Info("x", "secret", secret, "holder", h)
	g.Expect(json.NewEncoder(&out).Encode(h)).To(gomega.Succeed())
	for _, form := range []string{"very secret", fmt.Sprintf("%x", "very secret"), fmt.Sprint([]byte("very secret"))[1:20]} {
		g.Expect(out.String()).NotTo(gomega.ContainSubstring(form))
	}
	g.Expect(secret.Reveal()).To(gomega.Equal([]byte("very secret value")))
}
