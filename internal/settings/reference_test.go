package settings

import (
	"os"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/config/strictjson"
)

// Guards against a reference page that differs from the schema.
func TestReferencePage(t *testing.T) {
	g := gomega.NewWithT(t)
	page, err := os.ReadFile("../../docs/settings.md")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, table, found := strings.Cut(string(page), "| key |")
	g.Expect(found).To(gomega.BeTrue())
	g.Expect("| key |" + table).To(gomega.Equal(Reference()))
}

// Guards against a default that its own checks refuse. Identities have none.
func TestDefaultsPassTheChecks(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, k := range Schema() {
		node, problems := strictjson.Parse("", []byte(k.Default))
		g.Expect(problems).To(gomega.BeEmpty(), k.Name)
		if k.Default == `""` && k.Own {
			continue
		}
		value, bad := k.parse(node)
		g.Expect(bad).To(gomega.BeNil(), k.Name)
		g.Expect(string(encode(value))).To(gomega.Equal(k.Default), k.Name)
	}
}
