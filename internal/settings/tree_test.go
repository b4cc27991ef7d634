package settings

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/core"
)

// must applies changes whose sets are JSON objects.
func must(t *testing.T, tree *Tree, path, set string) *Tree {
	t.Helper()
	next, refusal := tree.Apply(changeOf(tree, path, set))
	if refusal != nil {
		t.Fatal(refusal)
	}
	return next
}

func changeOf(tree *Tree, path, set string) Change {
	change := Change{Path: path, Set: Values{}}
	if n, ok := tree.Node(path); ok {
		change.BaseVersion = n.Version
	}
	if err := json.Unmarshal([]byte(set), &change.Set); err != nil {
		panic(err)
	}
	return change
}

func sampleTree(t *testing.T) *Tree {
	tree := must(t, NewTree(), "/services/group", `{"retry.budget":0.2}`)
	tree = must(t, tree, "/services/group/verse", `{"kind":"model","model":"verse-1"}`)
	return must(t, tree, "/services/desk", `{"kind":"plain","route":"/desk/","retry.budget":0.3}`)
}

// Guards against a change at the root that does not reach the services
// beneath it, or that overrides what a node sets itself.
func TestInheritanceAndEffects(t *testing.T) {
	g := gomega.NewWithT(t)
	before := sampleTree(t)
	after := must(t, before, "/", `{"retry.budget":0.5,"online.first_token":"2s"}`)
	verse, desk := after.Snapshot().Deployment("group/verse"), after.Snapshot().DeploymentByRoute("/desk/x")
	g.Expect(verse.RetryBudget).To(gomega.Equal(0.2))
	g.Expect(desk.RetryBudget).To(gomega.Equal(0.3))
	g.Expect(verse.FirstToken).To(gomega.Equal(2 * time.Second))
	g.Expect(verse.OnlineDeadline).To(gomega.Equal(30 * time.Second))
	g.Expect(Effects(before, after)).To(gomega.Equal([]Effect{
		{"/services/desk", "online.first_token", json.RawMessage(`"1.4s"`), json.RawMessage(`"2s"`)},
		{"/services/group/verse", "online.first_token", json.RawMessage(`"1.4s"`), json.RawMessage(`"2s"`)},
	}))
	from := map[string]string{}
	for _, e := range after.Effective("/services/group/verse") {
		from[e.Key] = e.From
	}
	g.Expect(from["retry.budget"]).To(gomega.Equal("/services/group"))
	g.Expect(from["online.first_token"]).To(gomega.Equal("/"))
	g.Expect(from["hedge.after"]).To(gomega.Equal("default"))
}

// Guards against changes that the cross-checks must refuse.
func TestTreeRefusals(t *testing.T) {
	tree := must(t, sampleTree(t), "/organisations/a", `{"org.key_sha256":["`+digestOf('a')+`"]}`)
	tests := []struct {
		name   string
		change Change
		code   core.Code
	}{
		{"same model", changeOf(tree, "/services/x", `{"kind":"model","model":"verse-1"}`), core.CodeInvalidRequest},
		{"same route", changeOf(tree, "/services/x", `{"kind":"plain","route":"/desk"}`), core.CodeInvalidRequest},
		{"same API key", changeOf(tree, "/organisations/b", `{"org.key_sha256":["`+digestOf('a')+`"]}`), core.CodeInvalidRequest},
		{"no kind", changeOf(tree, "/services/x", `{"model":"m"}`), core.CodeInvalidRequest},
		{"no model", changeOf(tree, "/services/x", `{"kind":"model"}`), core.CodeInvalidRequest},
		{"model of a plain service", changeOf(tree, "/services/desk", `{"model":"m"}`), core.CodeInvalidRequest},
		{"kind unset", Change{Path: "/services/desk", BaseVersion: 3, Unset: []string{"kind"}}, core.CodeInvalidRequest},
		{"unset of an inherited key", Change{Path: "/services/group/verse", BaseVersion: 2, Unset: []string{"retry.budget"}}, core.CodeInvalidRequest},
		{"bad value", changeOf(tree, "/", `{"retry.budget":7}`), core.CodeInvalidRequest},
		{"children", Change{Path: "/services/group", BaseVersion: 1, Delete: true}, core.CodeConflict},
		{"fixed", Change{Path: "/services", Delete: true}, core.CodeInvalidRequest},
		{"no parent", changeOf(tree, "/services/none/x", `{}`), core.CodeConflict},
		{"absent", Change{Path: "/services/none", Delete: true}, core.CodeNotFound},
		{"old version", Change{Path: "/services/desk", BaseVersion: 2, Delete: true}, core.CodeConflict},
		{"deleted since", Change{Path: "/services/none", BaseVersion: 2, Set: Values{}}, core.CodeConflict},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			_, refusal := tree.Apply(test.change)
			g.Expect(refusal).NotTo(gomega.BeNil())
			g.Expect(refusal.Code).To(gomega.Equal(test.code), refusal.Message)
			g.Expect(refusal.Execution).To(gomega.Equal(core.NotRun))
		})
	}
}

func digestOf(b byte) string {
	out := make([]byte, 64)
	for i := range out {
		out[i] = b
	}
	return string(out)
}

// Guards against trees of peers that are taken over without checks.
func TestTreeOfPeerIsChecked(t *testing.T) {
	g := gomega.NewWithT(t)
	good := sampleTree(t)
	nodes, more := good.chunk("", 1<<20)
	g.Expect(more).To(gomega.BeFalse())
	g.Expect(newTree(3, nodes).check(good.sum)).To(gomega.Succeed())
	g.Expect(newTree(3, nodes[1:]).check(good.sum)).NotTo(gomega.Succeed(), "a missing node")
	for name, bad := range map[string]nodeImage{
		"bad value":   {"/", 1, Values{"retry.budget": json.RawMessage("9")}},
		"unknown key": {"/", 1, Values{"x": json.RawMessage("9")}},
		"no JSON":     {"/", 1, Values{"retry.budget": json.RawMessage("{")}},
		"same model":  {"/services/y", 1, Values{"kind": json.RawMessage(`"model"`), "model": json.RawMessage(`"verse-1"`)}},
		"no parent":   {"/services/none/y", 1, nil},
		"too new":     {"/", 4, nil},
	} {
		tree := newTree(3, append(nodes[:len(nodes):len(nodes)], bad))
		g.Expect(tree.check(tree.sum)).NotTo(gomega.Succeed(), name)
	}
}
