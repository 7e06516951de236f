package admin

// View is what the door shows of the others.
type MembershipView struct {
	Number      int      `json:"number"`
	Incarnation uint32   `json:"incarnation"`
	AgreedMS    *int64   `json:"agreed_ms_ago"` // null: not yet
	Health      int      `json:"health"`        // 0 is good
	Present     int      `json:"present"`
	Suspect     int      `json:"suspect"`
	Members     []Member `json:"members"`
}

// Fellow is what is known of one node.
type Member struct {
	Number      int    `json:"number"`
	Addr        string `json:"address"`
	State       string `json:"state"`
	Reason      string `json:"reason"`
	Incarnation uint32 `json:"incarnation"`
	SinceMS     int64  `json:"since_ms"`
	HeardMS     *int64 `json:"heard_ms_ago"` // null: never
}
