package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"pomelodoor.example/pomelodoor/follow"
	"pomelodoor.example/pomelodoor/node"
)

const (
	// oldCopy is the age from which on a copy of the store stands out: several
	// times what a daemon in touch with the store or a reader allows.
	oldCopy = 10 * time.Second
	// maxOutliers limits the daemons that a summary names.
	maxOutliers = 20
)

// summary is what `status --summary` shows of many daemons.
type summary struct {
	Daemons int `json:"daemons"`
	Ready   int `json:"ready"`
	// StoreReaders counts the daemons that read the users' store themselves.
	StoreReaders int `json:"storeReaders"`
	// Era and Revision are the latest version of the store that any daemon holds, and
	// Behind counts those that hold an earlier one.
	Era         uint64    `json:"era,omitempty"`
	Revision    uint64    `json:"revision"`
	Behind      int       `json:"behind"`
	OldestAgeMs int64     `json:"oldestAgeMs"`
	Outliers    []outlier `json:"outliers"`
	// MoreOutliers counts those beyond the limit.
	MoreOutliers int `json:"moreOutliers"`
}

// outlier is a daemon that stands out, and why.
type outlier struct {
	Instance string `json:"instance"`
	Reason   string `json:"reason"`
	weight   int64
}

// summarize returns the summary of daemons, the worst outliers first.
func summarize(statuses map[string]node.Status) summary {
	s := summary{Daemons: len(statuses), Outliers: []outlier{}}
	var latest follow.Version
	for _, status := range statuses {
		if status.Store != nil && heldVersion(status.Store).After(latest) {
			latest = heldVersion(status.Store)
		}
	}
	s.Era, s.Revision = latest.Era, latest.Revision
	for name, status := range statuses {
		if status.Ready {
			s.Ready++
		} else {
			s.Outliers = append(s.Outliers, outlier{name, "not ready", 1 << 62})
		}
		if status.Store == nil {
			continue
		}
		if status.Store.Source == "store" {
			s.StoreReaders++
		}
		s.OldestAgeMs = max(s.OldestAgeMs, status.Store.AgeMs)
		if latest.After(heldVersion(status.Store)) {
			s.Behind++
		}
		if age := time.Duration(status.Store.AgeMs) * time.Millisecond; age >= oldCopy {
			reason := fmt.Sprintf("copy of the store is %s old, revision %d, from %s", age, status.Store.Revision, status.Store.Source)
			s.Outliers = append(s.Outliers, outlier{name, reason, status.Store.AgeMs})
		}
	}
	slices.SortFunc(s.Outliers, func(a, b outlier) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.Instance, b.Instance))
	})
	if extra := len(s.Outliers) - maxOutliers; extra > 0 {
		s.Outliers, s.MoreOutliers = s.Outliers[:maxOutliers], extra
	}
	return s
}

// heldVersion returns the version of a daemon's copy of the store.
func heldVersion(s *node.StoreStatus) follow.Version {
	return follow.Version{Era: s.Era, Revision: s.Revision}
}

// writeSummary writes the summary of daemons as text or JSON.
func writeSummary(out io.Writer, statuses map[string]node.Status, asJSON bool) error {
	s := summarize(statuses)
	if asJSON {
		return json.NewEncoder(out).Encode(s)
	}
	_, err := fmt.Fprintf(out, "%d daemons, %d ready\n", s.Daemons, s.Ready)
	if s.Revision > 0 {
		_, err = fmt.Fprintf(out, "store: revision %d, %d behind it, oldest copy %d ms, read by %d\n", s.Revision, s.Behind, s.OldestAgeMs, s.StoreReaders)
	}
	if err != nil {
		return err
	}
	if err := writeConditions(out, statuses); err != nil {
		return err
	}
	for _, o := range s.Outliers {
		_, err = fmt.Fprintf(out, "%s: %s\n", o.Instance, o.Reason)
	}
	if s.MoreOutliers > 0 {
		_, err = fmt.Fprintf(out, "and %d more\n", s.MoreOutliers)
	}
	return err
}
