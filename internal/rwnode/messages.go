package rwnode

import (
	"context"
	"time"

	"redwingworks.example/internal/rwidentity"
	"redwingworks.example/internal/rwpeer"
	"redwingworks.example/internal/rwslotmessage"
)

// handler handles a slot message.
type handler func(from rwidentity.Identity, m *rwslotmessage.Message)

func (n *Node) handlers() map[string]handler {
	return map[string]handler{
		rwslotmessage.Want:   func(from rwidentity.Identity, m *rwslotmessage.Message) { n.owner.HandleWant(time.Now(), from, m) },
		rwslotmessage.Sync:   func(from rwidentity.Identity, m *rwslotmessage.Message) { n.owner.HandleSync(time.Now(), from, m) },
		rwslotmessage.Report: func(_ rwidentity.Identity, m *rwslotmessage.Message) { n.owner.HandleReport(time.Now(), m) },
		rwslotmessage.Grant:  n.policy.HandleGrants,
		rwslotmessage.Check:  n.policy.HandleCheck,
		rwslotmessage.Owner:  func(from rwidentity.Identity, m *rwslotmessage.Message) { n.policy.Resync(from, m.Cell) },
	}
}

// handleMessages registers the handlers of the slot messages.
func (n *Node) handleMessages() {
	for method, h := range n.handlers() {
		n.peers.Handle(method, rwpeer.Typed(func(_ context.Context, from rwidentity.Identity, m rwslotmessage.Message) (any, error) {
			h(from, &m)
			return nil, nil
		}))
	}
}

// send queues a message to a router. A message to this router itself is handled
// in another goroutine, since the sender may hold locks.
func (n *Node) send(to rwidentity.Identity, method string, m *rwslotmessage.Message) {
	if to.Name != n.self.Name {
		n.peers.Notify(to.Addr, method, m)
		return
	}
	h := n.handlers()[method]
	go h(n.self, m)
}
