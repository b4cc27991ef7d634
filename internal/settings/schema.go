package settings

import (
	"regexp"
	"time"
)

var (
	rootLevel     = []NodeKind{NodeRoot}
	serviceLevels = []NodeKind{NodeRoot, NodeService}
	orgLevels     = []NodeKind{NodeRoot, NodeOrganisation}
)

const (
	ms   = float64(time.Millisecond)
	sec  = float64(time.Second)
	hour = float64(time.Hour)
	// maxStringBytes bounds a string value and maxListElements a list, so that one
	// node of the settings tree always fits in one message between daemons.
	maxStringBytes  = 256
	maxListElements = 64
)

var (
	namePattern       = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]*$`)
	labelPattern      = regexp.MustCompile(`^[A-Za-z0-9._:/-]*$`)
	routePattern      = regexp.MustCompile(`^/([A-Za-z0-9._~-]+/)*[A-Za-z0-9._~-]+/?$`)
	methodPathPattern = regexp.MustCompile(`^(GET|HEAD|POST|PUT|PATCH|DELETE) /[!-~]*$`)
	digestPattern     = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

const (
	nameForm  = "1 to 256 letters, digits and . _ : / -, beginning with a letter or digit"
	labelForm = "up to 256 letters, digits and . _ : / -"
)

// schema defines all keys. The checks, the defaults, the effective values and the
// table in docs/settings.md are derived from it.
var schema = []Key{
	{Name: "auth.required", Type: TypeBool, Default: "false", Levels: []NodeKind{NodeRoot},
		Help: "Callers must present an API key."},

	{Name: "kind", Type: TypeString, Default: `""`, Levels: []NodeKind{NodeService}, NotInherited: true,
		Choices: []string{string(KindModel), string(KindPlain)},
		Help:    "Makes the node a deployment and selects what its replicas serve: a model or a plain HTTP service."},
	{Name: "model", Type: TypeString, Default: `""`, Levels: []NodeKind{NodeService}, NotInherited: true,
		Pattern: namePattern, Form: nameForm, Help: "Model name that callers use in their requests; unique."},
	{Name: "route", Type: TypeString, Default: `""`, Levels: []NodeKind{NodeService}, NotInherited: true,
		Pattern: routePattern, Form: "a path prefix such as /permit-desk/, not below /v1/",
		Help: "Path prefix of a plain service; unique."},
	{Name: "route.non_idempotent", Type: TypeStringList, Default: "[]", Levels: []NodeKind{NodeService}, NotInherited: true,
		Pattern: methodPathPattern, Form: `a method and a path such as "POST /permit-desk/issue"`,
		Help: "Calls of a plain service that are not idempotent and so must not be repeated."},

	{Name: "online.deadline", Type: TypeDuration, Min: 10 * ms, Max: hour, Default: `"30s"`, Levels: serviceLevels,
		Help: "Time from the arrival of an online request to its last token."},
	{Name: "online.first_token", Type: TypeDuration, Min: ms, Max: hour, Default: `"1.4s"`, Levels: serviceLevels,
		Help: "Target for the first token; a request that cannot meet it is refused early."},
	{Name: "online.queue_limit", Type: TypeInt, Unit: "requests", Max: 10000, Default: "64", Levels: serviceLevels,
		Help: "Maximum number of requests that may be queued for one replica."},
	{Name: "replica.slots", Type: TypeInt, Unit: "requests", Max: 4096, Default: "0", Levels: serviceLevels,
		Help: "Maximum number of concurrent requests per replica; 0 uses the number that the engine reports."},

	{Name: "retry.budget", Type: TypeNumber, Unit: "share of successes", Max: 1, Default: "0.1", Levels: serviceLevels,
		Help: "Share of recent successes that may be spent on retries, hedges and resumes."},
	{Name: "retry.max_attempts", Type: TypeInt, Unit: "attempts", Min: 1, Max: 10, Default: "3", Levels: serviceLevels,
		Help: "Maximum number of attempts of one idempotent request, including the first."},
	{Name: "hedge.after", Type: TypeDuration, Max: 60 * sec, Default: `"0s"`, Levels: serviceLevels,
		Help: "Time without a first token after which a second attempt is sent; 0s disables hedging."},
	{Name: "eject.ratio", Type: TypeNumber, Unit: "times the median", Min: 1.1, Max: 100, Default: "3", Levels: serviceLevels,
		Help: "Factor by which a replica must be slower than the deployment's median to be ejected."},
	{Name: "eject.duration", Type: TypeDuration, Min: 100 * ms, Max: hour, Default: `"5s"`, Levels: serviceLevels,
		Help: "Time for which a replica is ejected."},

	{Name: "batch.enabled", Type: TypeBool, Default: "true", Levels: serviceLevels,
		Help: "Batch items may run on the deployment."},
	{Name: "batch.max_tries", Type: TypeInt, Unit: "tries", Min: 1, Max: 20, Default: "3", Levels: serviceLevels,
		Help: "Maximum number of tries of a batch item that is refused or fails."},
	{Name: "batch.headroom", Type: TypeInt, Unit: "slots", Max: 4096, Default: "0", Levels: serviceLevels,
		Help: "Number of slots per replica that batch work leaves free."},
	{Name: "batch.item_deadline", Type: TypeDuration, Min: sec, Max: 24 * hour, Default: `"10m"`, Levels: serviceLevels,
		Help: "Time that one try of a batch item may take."},

	{Name: "engine.honours_fencing", Type: TypeBool, Default: "false", Levels: serviceLevels,
		Help: "The engine rejects orders with an old fencing number."},
	{Name: "engine.model_version", Type: TypeString, Default: `""`, Levels: serviceLevels, Pattern: labelPattern, Form: labelForm,
		Help: "Version of the weights that the engines load; empty leaves the loaded weights unchanged."},
	{Name: "engine.adapter", Type: TypeString, Default: `""`, Levels: serviceLevels, Pattern: labelPattern, Form: labelForm,
		Help: "Adapter that the engines load; empty leaves the loaded adapter unchanged."},
	{Name: "engine.role", Type: TypeString, Default: `""`, Levels: serviceLevels, Pattern: labelPattern, Form: labelForm,
		Help: "Role that is assigned to the engines; empty leaves their role unchanged."},

	{Name: "org.weight", Type: TypeInt, Unit: "weight", Min: 1, Max: 1000, Default: "1", Levels: orgLevels,
		Help: "Weight of an organisation in fair sharing."},
	{Name: "org.key_sha256", Type: TypeStringList, Default: "[]", Levels: []NodeKind{NodeOrganisation}, NotInherited: true,
		Pattern: digestPattern, Form: "64 lower-case hexadecimal digits",
		Help: "SHA-256 digests of the organisation's API keys."},
	{Name: "org.max_in_flight", Type: TypeInt, Unit: "requests", Max: 1000000, Default: "0", Levels: orgLevels,
		Help: "Maximum number of concurrent online requests of an organisation at one node; 0 means no limit."},

	{Name: "retention.intents", Type: TypeDuration, Min: 2 * hour, Max: 720 * hour, Default: `"24h"`, Levels: rootLevel,
		Help: "Time for which the outcome of a non-idempotent call with an idempotency key is kept; a call that is resent later runs again."},
	{Name: "retention.jobs", Type: TypeDuration, Min: hour, Max: 8760 * hour, Default: `"720h"`, Levels: rootLevel,
		Help: "Time from the end of a job to the deletion of its rows, results and input."},
	{Name: "retention.files", Type: TypeDuration, Min: 24 * hour, Max: 8760 * hour, Default: `"720h"`, Levels: rootLevel,
		Help: "Time from the last use of an uploaded file that no job uses to its deletion."},
	{Name: "retention.settings_log", Type: TypeDuration, Min: 24 * hour, Max: 43800 * hour, Default: `"2160h"`, Levels: rootLevel,
		Help: "Time for which the history of settings changes is kept; the newest 1000 entries are always kept."},

	{Name: "drain", Type: TypeBool, Default: "false", Levels: []NodeKind{NodeFleet}, NotInherited: true,
		Help: "Drains the backend server: it gets no new work."},
}

// schemaByName is the schema by key name. Its initialiser also decodes the
// defaults of all keys.
var schemaByName = func() map[string]*Key {
	out := make(map[string]*Key, len(schema))
	for i := range schema {
		schema[i].decodedDefault = schema[i].decode([]byte(schema[i].Default))
		out[schema[i].Name] = &schema[i]
	}
	return out
}()

// Schema returns all keys in the order of the reference page.
func Schema() []Key { return append([]Key(nil), schema...) }

// keyNames returns the names of the keys that a node may set.
func keyNames(path string, kind NodeKind) []string {
	var out []string
	for i := range schema {
		if schema[i].appliesTo(path, kind) {
			out = append(out, schema[i].Name)
		}
	}
	return out
}
