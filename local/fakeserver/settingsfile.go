package fakeserver

import (
	"strconv"

	"github.com/rotisserie/eris"
	"gopkg.in/ini.v1"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/fleet"
)

// fleetKey authenticates the processes of the fleet to one another.
const fleetKey = "6c6f63616c2d666c6565742d6b657921"

// section is one section of a settings file with its keys in order.
type section struct {
	name string
	keys [][2]string
}

func writeSettings(path string, sections []section) error {
	file := ini.Empty()
	for _, s := range sections {
		made, err := file.NewSection(s.name)
		if err != nil {
			return eris.Wrapf(err, "section %s", s.name)
		}
		for _, key := range s.keys {
			if _, err := made.NewKey(key[0], key[1]); err != nil {
				return eris.Wrapf(err, "key %s", key[0])
			}
		}
	}
	return eris.Wrap(file.SaveTo(path), "write settings")
}

func instanceKeys(p Process) [][2]string {
	return [][2]string{
		{"id", string(p.Instance.ID)},
		{"session_address", p.Instance.SessionAddr},
		{"datagram_address", p.Instance.DatagramAddr},
		{"region", p.Instance.Location.Region},
		{"failure_domain", p.Instance.Location.FailureDomain},
	}
}

func commonSections(p Process) []section {
	return []section{
		{"fleet", [][2]string{{"key", fleetKey}, {"origin_region", regions[0]}}},
		{"telemetry", [][2]string{{"metrics_address", p.MetricsAddr}}},
	}
}

// entrySections are the settings of an entry.
func (s *Server) entrySections(p Process) []section {
	instance := append(instanceKeys(p), [2]string{"http_address", p.HTTPAddr})
	return append(commonSections(p),
		section{"instance", instance},
		section{"operators", [][2]string{{"token_digests", fleet.TokenDigest(OperatorToken).String()}}},
		section{"platform", [][2]string{
			{"key_value_url", s.urls.keyValue},
			{"instance_list_url", s.urls.list},
			{"weight_store_url", s.urls.store},
		}},
		section{"organisation school", [][2]string{{"token_digests", fleet.TokenDigest(CallerToken).String()}}},
		section{"rank urgent", [][2]string{{"guaranteed_share", "0.5"}, {"patience", "2s"}}},
		section{"rank normal", [][2]string{{"guaranteed_share", "0.25"}, {"patience", "10s"}}},
		section{"rank background", [][2]string{{"guaranteed_share", "0.1"}, {"patience", "60s"}}},
		section{"kind urgent", [][2]string{{"rank", "urgent"}}},
		section{"kind background", [][2]string{{"rank", "background"}}},
		section{"operation " + Service + "/" + OperationPurchase, [][2]string{{"idempotent", "false"}, {"rank", "urgent"}}},
		section{"operation " + Service + "/" + OperationBalance, [][2]string{{"idempotent", "true"}}},
	)
}

// agentSections are the settings of an agent.
func (s *Server) agentSections(p Process) []section {
	instance := append(instanceKeys(p), [2]string{"role", string(p.Instance.Role)})
	sections := append(commonSections(p), section{"endpoint", [][2]string{
		{"url", p.EndpointURL},
		{"slots", strconv.Itoa(s.config.Slots)},
	}})
	if p.Instance.Role == core.RolePlain {
		return append(sections, section{"instance", append(instance, [2]string{"service", Service})})
	}
	return append(sections,
		section{"instance", append(instance, [2]string{"chunk_address", p.Instance.ChunkAddr})},
		section{"weights", [][2]string{{"origin_url", s.urls.origin}, {"weight_store_url", s.urls.store}}},
	)
}
