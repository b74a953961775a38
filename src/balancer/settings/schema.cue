// The schema of the operator's settings file, which is unified with it. A * marks the default of a field that
// the file omits.

#Store: {
	// Numeric, with a port: resolving a host name would block the gateway.
	address: string & =~"^([0-9]{1,3}(\\.[0-9]{1,3}){3}|\\[[0-9a-fA-F:]+\\]):[0-9]{1,5}$"
	username?: string & !=""
	password?: string & !=""
	password_file?: string & !=""
	database: *0 | int & >=0 & <=1000000
}

#Counter: {
	stores: [#Store, ...#Store]
	prefix: *"shaletray" | string & =~"^[A-Za-z0-9_.:-]{1,64}$"
	lease: *"8s" | #Duration & >="1s" & <="10m"
	reserve: *0.25 | number & >=0 & <=0.9
	alone_share: *0.7 | number & >=0 & <=1
	alone_after: *"1500ms" | #Duration & <="1h"
	demand_window: *"2s" | #Duration & >="100ms" & <="1m"
	every: *"500ms" | #Duration & >="50ms" & <="30s"
	standby_every: *"5s" | #Duration & >="500ms" & <="10m"
	timeout: *"250ms" | #Duration & >="10ms" & <="30s"
	most_customers: *100000 | int & >=1 & <=10000000
	most_rows: *1024 | int & >=1 & <=10000
}

#Plan: {
	plan: string & =~"^[A-Za-z0-9_.-]{1,64}$"
	like?: string & !=""
	rate: number & >=0 & <=1000000000
	burst: number & >=0 & <=1000000000
	ceiling_rate: *0 | number & >=0 & <=1000000000
	ceiling_burst: *0 | number & >=0 & <=1000000000
	ceiling_slack: *0 | number & >=0 & <=1000000000
}

#Assignment: {
	customer: string & =~"^[0-9a-f]{16}$"
	plan: string
}

#Plans: {
	plans: *[] | [...#Plan]
	customers: *[] | [...#Assignment]
	book: string & !=""
	keeper: bool
	precedence: *"request" | "book"
	control: *"" | string
	control_mode: *"0660" | "0600" | "0666"
	lead: *"2s" | #Duration & >="0s" & <="1h"
	most_carved: *0.5 | number & >=0 & <=0.9
	on_damage: *"refuse" | "serve"
}

#Usage: {
	journal: string & !=""
	segment_rows: *8192 | int & >=2 & <=1048576
	most_segments: *2048 | int & >=2 & <=1000000
	on_trouble: *"refuse" | "serve"
	store: string & !=""
	most_store: *"4GiB" | #Size & >="1MiB"
	settle: *"5s" | #Duration & >="0s" & <="1h"
	every: *"1s" | #Duration & >="10ms" & <="1h"
	lines: *5000 | int & >=1 & <=100000
	keep_batches: *10000 | int & >=0 & <=10000000
	files?: string & !=""
	form: *"jsonl" | "csv"
	endpoint?: string & =~"^http://([0-9]{1,3}(\\.[0-9]{1,3}){3}|\\[[0-9a-fA-F:]+\\]):[0-9]{1,5}/.*$"
	timeout: *"2s" | #Duration & >="10ms" & <="1m"
	check_every: *"30s" | #Duration & >="100ms" & <="1h"
	plans: *[] | [...string]
	classes: *[] | [...string]
}

// Applied again at SIGHUP.
#Log: {
	level?: "error" | "warning" | "info" | "debug"
	form: *"keyvalue" | "json"
}

counter?: #Counter
log?: #Log
plans?: #Plans
usage?: #Usage
