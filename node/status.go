package node

import "pomelodoor.example/pomelodoor/config"

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
