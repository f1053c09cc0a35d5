package fakeservices

import (
	"os"
	"path/filepath"
	"strings"
	"text/template"

	"github.com/rotisserie/eris"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/fleet"
	"github.com/snipestep/snipestep/local/load"
)

// Tokens that the written settings accept.
const (
	OperatorToken = "local-operator"
	CallerToken   = "local-caller"
)

const settingsPermission = 0o600

// templateValues holds what the settings templates refer to.
type templateValues struct {
	localInstance
	KeyValueURL    string
	ListURL        string
	StoreURL       string
	OriginURL      string
	OperatorDigest string
	CallerDigest   string
	Service        string
	Purchase       string
	Slots          int
}

// Addr returns an address of the instance.
func (v templateValues) Addr(port int) string {
	return v.addr(port)
}

func newTemplateValues(instance localInstance) templateValues {
	return templateValues{
		localInstance:  instance,
		KeyValueURL:    "http://" + hostAddr(instance.network, platformHost, keyValuePort),
		ListURL:        "http://" + hostAddr(instance.network, platformHost, listPort),
		StoreURL:       "http://" + hostAddr(instance.network, platformHost, storePort),
		OriginURL:      "http://" + hostAddr(instance.network, platformHost, originPort),
		OperatorDigest: fleet.TokenDigest(OperatorToken).String(),
		CallerDigest:   fleet.TokenDigest(CallerToken).String(),
		Service:        load.ServiceName,
		Purchase:       load.PurchaseName,
		Slots:          slots,
	}
}

// writeSettings writes the file of one instance and returns its path.
func writeSettings(dir string, instance localInstance) (string, error) {
	settingsTemplate := agentTemplate
	if instance.Role == core.RoleEntry {
		settingsTemplate = entryTemplate
	}
	var text strings.Builder
	if err := settingsTemplate.Execute(&text, newTemplateValues(instance)); err != nil {
		return "", eris.Wrap(err, "write settings")
	}
	path := filepath.Join(dir, string(instance.ID)+".ini")
	err := os.WriteFile(path, []byte(text.String()), settingsPermission)
	return path, eris.Wrap(err, "write settings")
}

const sharedSettings = `
region = {{.Location.Region}}
failure_domain = {{.Location.FailureDomain}}

[fleet]
key = 736e697065737465702d6c6f63616c2d6b6579
origin_region = region-1

[telemetry]
metrics_address = {{.Addr 9400}}
`

var entryTemplate = template.Must(template.New("entry").Parse(`[instance]
id = {{.ID}}
http_address = {{.Addr 8080}}
session_address = {{.SessionAddr}}
datagram_address = {{.DatagramAddr}}` + sharedSettings + `
[operators]
token_digests = {{.OperatorDigest}}

[platform]
key_value_url = {{.KeyValueURL}}
instance_list_url = {{.ListURL}}
weight_store_url = {{.StoreURL}}

[rank urgent]
guaranteed_share = 0.5
patience = 2s

[rank normal]
guaranteed_share = 0.25
patience = 10s

[rank background]
guaranteed_share = 0.1
patience = 30s

[kind urgent]
rank = urgent

[kind background]
rank = background

[operation {{.Service}}/{{.Purchase}}]
idempotent = false
rank = urgent

[organisation local]
token_digests = {{.CallerDigest}}
`))

var agentTemplate = template.Must(template.New("agent").Parse(`[instance]
id = {{.ID}}
role = {{.Role}}
{{- if .Instance.Service}}
service = {{.Instance.Service}}
{{- end}}
session_address = {{.SessionAddr}}
datagram_address = {{.DatagramAddr}}
{{- if .ChunkAddr}}
chunk_address = {{.ChunkAddr}}
{{- end}}` + sharedSettings + `
[endpoint]
url = http://{{.Addr 8000}}
checks_fencing = true
slots = {{.Slots}}
{{- if .ChunkAddr}}

[weights]
origin_url = {{.OriginURL}}
weight_store_url = {{.StoreURL}}
{{- end}}
`))
