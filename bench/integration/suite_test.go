package integration

import (
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// specSeed fixes the order of the specs, so that it is the same in each run.
const specSeed = 20261204

func TestIntegration(t *testing.T) {
	gomega.RegisterFailHandler(Fail)
	suite, reporter := GinkgoConfiguration()
	suite.RandomSeed = specSeed
	if knownRed := os.Getenv("SKIP"); knownRed != "" {
		suite.SkipStrings = append(suite.SkipStrings, knownRed) // -skip knows only whole tests
	}
	RunSpecs(t, "integration", suite, reporter)
}
