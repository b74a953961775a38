// The operator's own file, every field with its default. Named by SHALETRAY_SETTINGS; without it nothing here is on.
// `shaletray check deploy/shaletray.cue` checks it. See docs/operate/settings.md and docs/operate/shared-counter.md.

counter: {
	// Stores that speak the Redis protocol, in the order of preference. Several are copies of the same notice board.
	stores: [
		{address: "127.0.0.1:6379", database: 0},
		{address: "127.0.0.1:6380"}, // username, password or password_file where it asks for them
	]
	prefix:         "shaletray" // of the names that are used there
	lease:          "8s"        // how long a part of a quota that was leased is held at most
	reserve:        0.25        // part of a gateway's own piece of a ceiling that it never leases
	alone_share:    0.7         // of a quota, at most, granted by a gateway that does not hear all others
	alone_after:    "1500ms"
	demand_window:  "2s"
	every:          "500ms" // between two exchanges with the first store that answers
	standby_every:  "5s"    // and with the others
	timeout:        "250ms"
	most_customers: 100000 // whose shares are tracked; the others have an even, fixed part
	most_rows:      1024   // in one call
}

log: { // see docs/operate/logging.md
	level: "info" // where it is left out: what SHALETRAY_LOG says
	form:  "keyvalue" // or "json"
}

plans: { // see docs/operate/plans-and-usage.md
	book:         "/var/lib/shaletray/book" // this gateway's own copy of the plan book
	keeper:       true                      // at one gateway: changes are made there
	precedence:   "request"                 // or "book": its assignment goes before the plan that a request names
	control:      ""                        // path of the operators' socket; empty: none
	control_mode: "0660"
	lead:         "2s" // from a change to its effect, at least
	most_carved:  0.5  // of a customer's rate, for its reservations
	on_damage:    "refuse" // or "serve"
	plans: [ // as they should be, from the next start or SIGHUP on
		{plan: "empresa", rate: 10, burst: 40, ceiling_rate: 20, ceiling_burst: 80, ceiling_slack: 8},
	]
	customers: [
		{customer: "0000000000000007", plan: "empresa"},
	]
}

usage: {
	journal:       "/var/lib/shaletray/journal" // folder of records
	segment_rows:  8192
	most_segments: 2048     // of a gateway that may wait to be read
	on_trouble:    "refuse" // or "serve": start and record nothing
	// what follows is the exporter's
	store:        "/var/lib/shaletray/use.db"
	most_store:   "4GiB"
	settle:       "5s" // after a minute's end
	every:        "1s"
	lines:        5000  // in a batch
	keep_batches: 10000 // that all have, for an endpoint that was set back
	files:        "/var/lib/shaletray/out"
	form:         "jsonl" // or "csv"
	endpoint:     "http://127.0.0.1:8080/usage/batches"
	timeout:      "2s"
	check_every:  "30s" // how far the endpoint is, where nothing is to be sent
	plans: ["equipo", "empresa"] // the platform's, in their order, for the lines
	classes: ["claim-read"]
}
