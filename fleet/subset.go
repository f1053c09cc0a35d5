package fleet

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/internal/splitmix"
)

// Subset returns the peers that self keeps sessions and exchanges heartbeats
// with, at most size. clients are all instances that select peers; self is added
// if it is missing. Subsetting is deterministic: all clients that know the same
// instances compute the same subsets. Subsets spread over failure domains, load
// the peers evenly, and change little when one instance is replaced. With at most
// size peers, all are returned. Results are sorted by ID.
func Subset(self core.Instance, clients, peers []core.Instance, size int) []core.Instance {
	if len(peers) <= size {
		return sortedByID(peers)
	}
	if !contains(clients, self.ID) {
		clients = append(append([]core.Instance(nil), clients...), self)
	}
	allocator := newSubsetAllocator(clients, peers, size)
	for _, client := range allocator.clients {
		peersOfClient := allocator.selectPeers(client)
		if client.id == self.ID {
			return sortedByID(peersOfClient)
		}
	}
	return nil
}

// Subsets returns the Subset of every client by its ID.
func Subsets(clients, peers []core.Instance, size int) map[core.InstanceID][]core.Instance {
	out := make(map[core.InstanceID][]core.Instance, len(clients))
	if len(peers) <= size {
		for _, client := range clients {
			out[client.ID] = sortedByID(peers)
		}
		return out
	}
	allocator := newSubsetAllocator(clients, peers, size)
	for _, client := range allocator.clients {
		out[client.id] = sortedByID(allocator.selectPeers(client))
	}
	return out
}

// subsetAllocator selects the peers of all clients in hash order, so that each
// selection sees the load that earlier ones put on the peers.
type subsetAllocator struct {
	size int
	// maxLoad is the mean load of a peer, rounded up. A higher limit would leave
	// some peers without clients after the last selection.
	maxLoad int
	clients []hashedID
	domains []*peerDomain
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
	selected bool
}

func newSubsetAllocator(clients, peers []core.Instance, size int) *subsetAllocator {
	s := &subsetAllocator{size: size}
	s.maxLoad = (len(clients)*size + len(peers) - 1) / len(peers)
	s.clients = hashClients(clients)
	s.domains = groupByDomain(peers)
	return s
}

func hashClients(clients []core.Instance) []hashedID {
	out := make([]hashedID, 0, len(clients))
	for _, client := range clients {
		out = append(out, hashedID{client.ID, xxhash.Sum64String(string(client.ID))})
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

// selectPeers selects one peer from each failure domain in turn until size peers
// are selected.
func (s *subsetAllocator) selectPeers(client hashedID) []core.Instance {
	s.scorePeers(client)
	var selected []core.Instance
	for len(selected) < s.size {
		previous := len(selected)
		for _, domain := range s.domains {
			if len(selected) == s.size {
				break
			}
			if peer := domain.bestAvailable(s.maxLoad); peer != nil {
				selected = append(selected, peer.assign())
			}
		}
		if len(selected) == previous {
			selected = s.fillLeastLoaded(selected)
		}
	}
	return selected
}

func (s *subsetAllocator) scorePeers(client hashedID) {
	for _, domain := range s.domains {
		for _, peer := range domain.peers {
			peer.score = splitmix.Finalise(client.hash ^ splitmix.Finalise(peer.hash))
			peer.selected = false
		}
	}
	sort.Slice(s.domains, func(i, j int) bool {
		a, b := s.domains[i].hash, s.domains[j].hash
		return splitmix.Finalise(client.hash^splitmix.Finalise(a)) < splitmix.Finalise(client.hash^splitmix.Finalise(b))
	})
}

// bestAvailable returns the unselected peer below maxLoad with the highest score,
// or nil.
func (d *peerDomain) bestAvailable(maxLoad int) *subsetPeer {
	var best *subsetPeer
	for _, peer := range d.peers {
		if peer.selected || peer.load >= maxLoad {
			continue
		}
		if best == nil || peer.score > best.score {
			best = peer
		}
	}
	return best
}

// fillLeastLoaded selects the least loaded peers once every peer below maxLoad is
// selected.
func (s *subsetAllocator) fillLeastLoaded(selected []core.Instance) []core.Instance {
	for len(selected) < s.size {
		var leastLoaded *subsetPeer
		for _, domain := range s.domains {
			for _, peer := range domain.peers {
				if !peer.selected && (leastLoaded == nil || peer.load < leastLoaded.load) {
					leastLoaded = peer
				}
			}
		}
		selected = append(selected, leastLoaded.assign())
	}
	return selected
}

func (p *subsetPeer) assign() core.Instance {
	p.selected = true
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
