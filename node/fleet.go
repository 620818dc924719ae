package node

import (
	"time"

	"pomelodoor.example/pomelodoor/config"
)

// documentRead puts a document in force if it is good and newer.
func (n *Node) documentRead(m DocumentRead, now time.Time) []Command {
	d, err := config.ParseKey("platform:"+m.Key, m.Key, m.Body)
	if err != nil {
		n.config.Reject(m.Key, "platform:"+m.Key, err, now)
		return []Command{Note{Part: "config", Text: "A document was refused. " + err.Error(), Warn: true}}
	}
	changed, _ := n.config.Apply(d)
	n.config.Confirm()
	if !changed {
		return nil
	}
	return n.limits(now)
}

// announce tells the other daemons of this one's own record.
func (n *Node) announce(time.Time) []Command {
	return nil
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
