package settings

import (
	"os"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/config/strictjson"
)

// Guards against a table in docs/settings.md that differs from the schema.
func TestReferencePage(t *testing.T) {
	g := gomega.NewWithT(t)
	page, err := os.ReadFile("../../docs/settings.md")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, table, found := strings.Cut(string(page), "| key |")
	g.Expect(found).To(gomega.BeTrue())
	g.Expect("| key |" + table).To(gomega.Equal(Reference()))
}

// Guards against defaults that do not pass the checks of their key. Strings that
// identify one deployment have no default: theirs is "", which is not accepted.
func TestDefaultsPassTheChecks(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, k := range Schema() {
		node, problems := strictjson.Parse("", []byte(k.Default))
		g.Expect(problems).To(gomega.BeEmpty(), k.Name)
		if k.Default == `""` && k.NotInherited {
			continue
		}
		value, bad := k.parse(node)
		g.Expect(bad).To(gomega.BeNil(), k.Name)
		g.Expect(string(encode(value))).To(gomega.Equal(k.Default), k.Name)
	}
}
