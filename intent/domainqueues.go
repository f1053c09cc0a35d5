package intent

import "sort"

// domainQueues holds a FIFO queue of agents for each failure domain.
type domainQueues struct {
	names  []string
	queues map[string][]AgentView
}

func newDomainQueues() *domainQueues {
	return &domainQueues{queues: make(map[string][]AgentView)}
}

func (d *domainQueues) add(agent AgentView) {
	name := domainOf(agent)
	if _, ok := d.queues[name]; !ok {
		d.names = append(d.names, name)
		sort.Strings(d.names)
	}
	d.queues[name] = append(d.queues[name], agent)
}

// pop removes the next agent of the failure domain with the lowest count. Among
// equal counts it prefers the domain with the most queued agents.
func (d *domainQueues) pop(counts map[string]int) (AgentView, bool) {
	best := ""
	for _, name := range d.names {
		if len(d.queues[name]) == 0 {
			continue
		}
		if best == "" || d.preferred(name, best, counts) {
			best = name
		}
	}
	if best == "" {
		return AgentView{}, false
	}
	agent := d.queues[best][0]
	d.queues[best] = d.queues[best][1:]
	return agent, true
}

func (d *domainQueues) preferred(a, b string, counts map[string]int) bool {
	if counts[a] != counts[b] {
		return counts[a] < counts[b]
	}
	return len(d.queues[a]) > len(d.queues[b])
}
