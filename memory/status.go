package memory

// Status is a summary of the account for operators, in bytes.
type Status struct {
	Limit    int64            `json:"limit"`
	Used     int64            `json:"used"`
	Peak     int64            `json:"peak"`
	BySource map[Source]int64 `json:"bySource"`
	ByKind   map[Kind]int64   `json:"byKind"`
	// Refused counts the reservations for which there was no room.
	Refused map[Kind]int64 `json:"refused"`
}

// Counts counts what Connections has refused and ended.
type Counts struct {
	// Refused are connections for which there was no room.
	Refused int64 `json:"refused"`
	// Requests are requests for which there was no room.
	Requests int64 `json:"requests"`
	// Idle, Bodies and Answers are the connections ended while they waited for a request,
	// read a body and wrote an answer.
	Idle    int64 `json:"idle"`
	Bodies  int64 `json:"bodies"`
	Answers int64 `json:"answers"`
}

// PortStatus is the state of the connections of one port.
type PortStatus struct {
	Open   int    `json:"open"`
	Limit  int    `json:"limit"`
	Counts Counts `json:"counts"`
}

// Report is the state of the account and of the ports by their settings' names.
type Report struct {
	Account Status                `json:"account"`
	Ports   map[string]PortStatus `json:"ports"`
}
