package node

import (
	"time"

	"pomelodoor.example/pomelodoor/config"
)

// Status is what a daemon tells operators of itself.
type Status struct {
	Instance    string           `json:"instance"`
	Incarnation uint64           `json:"incarnation"`
	Ready       bool             `json:"ready"`
	Documents   []DocumentStatus `json:"documents"`
	Allowed     []config.Action  `json:"allowed"`
}

// DocumentStatus is one document in force.
type DocumentStatus struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
	Digest   string `json:"digest"`
}

// Ready reports whether the daemon can serve calls to its own service.
func (n *Node) Ready() bool {
	_, ok := n.config.Service(n.cfg.Self.Service)
	return ok && n.config.Confirmed() && !n.stopping
}

// Status describes the daemon to operators.
func (n *Node) Status(time.Time) Status {
	s := Status{Instance: n.cfg.Self.ID, Incarnation: n.cfg.Incarnation, Ready: n.Ready()}
	for _, d := range n.config.Documents() {
		s.Documents = append(s.Documents, DocumentStatus{Key: d.Key(), Revision: d.Revision(), Digest: d.Digest()})
	}
	for _, a := range config.Actions() {
		if n.config.Allowed(a) {
			s.Allowed = append(s.Allowed, a)
		}
	}
	return s
}
