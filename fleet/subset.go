package fleet

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/internal/splitmix"
)

// Subset returns the peers that self keeps sessions and heartbeats with, at
// most size. selves are all instances that choose; self is added when it is
// missing. Every chooser that knows the same instances computes the same
// choices: they spread over failure domains, load the peers evenly, and few
// change when one instance is replaced. With at most size peers, all are
// returned. Results are sorted by ID.
func Subset(self core.Instance, selves, peers []core.Instance, size int) []core.Instance {
	if len(peers) <= size {
		return sortedByID(peers)
	}
	if !contains(selves, self.ID) {
		selves = append(append([]core.Instance(nil), selves...), self)
	}
	s := newSubsetter(selves, peers, size)
	for _, chooser := range s.choosers {
		chosen := s.choose(chooser)
		if chooser.id == self.ID {
			return sortedByID(chosen)
		}
	}
	return nil
}

// Subsets returns the Subset of every chooser by its ID.
func Subsets(selves, peers []core.Instance, size int) map[core.InstanceID][]core.Instance {
	out := make(map[core.InstanceID][]core.Instance, len(selves))
	if len(peers) <= size {
		for _, self := range selves {
			out[self.ID] = sortedByID(peers)
		}
		return out
	}
	s := newSubsetter(selves, peers, size)
	for _, chooser := range s.choosers {
		out[chooser.id] = sortedByID(s.choose(chooser))
	}
	return out
}

// subsetter makes the choices of all choosers in hash order, so that each
// sees the load that earlier ones left.
type subsetter struct {
	size int
	// capacity is the mean load, rounded up: with room above it, the last
	// choosers would leave some peers without any.
	capacity int
	choosers []hashedID
	domains  []*peerDomain
}

type hashedID struct {
	id   core.InstanceID
	hash uint64
}

type peerDomain struct {
	hash  uint64
	peers []*subsetPeer
}

type subsetPeer struct {
	instance core.Instance
	hash     uint64
	load     int
	score    uint64
	chosen   bool
}

func newSubsetter(selves, peers []core.Instance, size int) *subsetter {
	s := &subsetter{size: size}
	s.capacity = (len(selves)*size + len(peers) - 1) / len(peers)
	s.choosers = hashChoosers(selves)
	s.domains = groupByDomain(peers)
	return s
}

func hashChoosers(selves []core.Instance) []hashedID {
	out := make([]hashedID, 0, len(selves))
	for _, self := range selves {
		out = append(out, hashedID{self.ID, xxhash.Sum64String(string(self.ID))})
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].hash != out[j].hash {
			return out[i].hash < out[j].hash
		}
		return out[i].id < out[j].id
	})
	return out
}

func groupByDomain(peers []core.Instance) []*peerDomain {
	byName := make(map[string]*peerDomain)
	var out []*peerDomain
	for _, peer := range sortedByID(peers) {
		name := peer.Location.Region + "/" + peer.Location.FailureDomain
		domain, ok := byName[name]
		if !ok {
			domain = &peerDomain{hash: xxhash.Sum64String(name)}
			byName[name] = domain
			out = append(out, domain)
		}
		domain.peers = append(domain.peers, &subsetPeer{
			instance: peer,
			hash:     xxhash.Sum64String(string(peer.ID)),
		})
	}
	return out
}

// choose takes one peer from each failure domain in turn until size are
// chosen.
func (s *subsetter) choose(chooser hashedID) []core.Instance {
	s.score(chooser)
	var chosen []core.Instance
	for len(chosen) < s.size {
		before := len(chosen)
		for _, domain := range s.domains {
			if len(chosen) == s.size {
				break
			}
			if peer := domain.best(s.capacity); peer != nil {
				chosen = append(chosen, peer.take())
			}
		}
		if len(chosen) == before {
			chosen = s.fill(chosen)
		}
	}
	return chosen
}

func (s *subsetter) score(chooser hashedID) {
	for _, domain := range s.domains {
		for _, peer := range domain.peers {
			peer.score = splitmix.Finalise(chooser.hash ^ splitmix.Finalise(peer.hash))
			peer.chosen = false
		}
	}
	sort.Slice(s.domains, func(i, j int) bool {
		a, b := s.domains[i].hash, s.domains[j].hash
		return splitmix.Finalise(chooser.hash^splitmix.Finalise(a)) < splitmix.Finalise(chooser.hash^splitmix.Finalise(b))
	})
}

// best returns the domain's peer with the highest score that has room.
func (d *peerDomain) best(capacity int) *subsetPeer {
	var best *subsetPeer
	for _, peer := range d.peers {
		if peer.chosen || peer.load >= capacity {
			continue
		}
		if best == nil || peer.score > best.score {
			best = peer
		}
	}
	return best
}

// fill takes the least loaded peers when all with room are chosen.
func (s *subsetter) fill(chosen []core.Instance) []core.Instance {
	for len(chosen) < s.size {
		var least *subsetPeer
		for _, domain := range s.domains {
			for _, peer := range domain.peers {
				if !peer.chosen && (least == nil || peer.load < least.load) {
					least = peer
				}
			}
		}
		chosen = append(chosen, least.take())
	}
	return chosen
}

func (p *subsetPeer) take() core.Instance {
	p.chosen = true
	p.load++
	return p.instance
}

func contains(instances []core.Instance, id core.InstanceID) bool {
	for _, i := range instances {
		if i.ID == id {
			return true
		}
	}
	return false
}

func sortedByID(instances []core.Instance) []core.Instance {
	out := append([]core.Instance(nil), instances...)
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}
