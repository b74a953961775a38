// The schema of a simulator scenario, unified with the scenario's file like a settings file with its schema.

#Fault: {
	kind: "crash" | "slow" | "hang" | "errors" | "drain" | "room_lost" | "link_loss" | "heavy" | "gateway_lost" | "discovery_silent" | "mail_loss" | "store_lost"
	at: #Duration & >="0s"
	lasts: *"1s" | #Duration & >"0s"
	// one server, or a share of all servers, drawn for each seed
	server?: int & >=0
	share?: number & >0 & <=1
	room?: int & >=0
	with_gateways: *false | bool
	gateway?: int & >=0
	class?: "claim-read" | "approve" | "claim-submit"
	by: *1 | number & >0
	part: *1 | number & >0 & <=1
	// if set, each seed draws a value between the field above (minimum) and this one (maximum)
	at_to?: #Duration & >="0s"
	lasts_to?: #Duration & >"0s"
	by_to?: number & >0
	part_to?: number & >0 & <=1
}

// New values of a plan. They take effect one lead time after `at`.
#Change: {
	at: #Duration & >="0s"
	plan: string & !=""
	rate: number & >0
	burst: number & >0
	ceiling_rate: *0 | number & >=0
	ceiling_burst: *0 | number & >=0
	ceiling_slack: *0 | number & >=0
}

#Plan: {
	name: string & !=""
	rate: number & >0
	burst: number & >0
	ceiling_rate: *0 | number & >=0
	ceiling_burst: *0 | number & >=0
	ceiling_slack: *0 | number & >=0
	over_worth: *0 | number & >=0
	over_cost: *0 | number & >=0
}

#Model: {
	cores: *4 | int & >=1 & <=1024
	queue: *64 | int & >=0 & <=100000
	work: *"20ms" | #Duration & >"0s"
	tail: *0.5 | number & >=0 & <=3
	heavy: *0 | number & >=0 & <=1
	loss_when_full: *0.3 | number & >=0 & <1
	cold_speed: *0.5 | number & >0 & <=1
	cold: *"2s" | #Duration
	cancel_stops: *true | bool
	// extra work of a new connection; maximum age of a load report; sigma of the logarithm of its error factor
	connect: *"0s" | #Duration & >="0s"
	report_late: *"0s" | #Duration & >="0s"
	report_noise: *0 | number & >=0 & <=3
	fall_multiple: *4 | number & >=1
	fall: *"1500ms" | #Duration & >"0s"
}

// Bounds of a statistic. If the run gave no value for it, the bound is reported as not checked.
#Bound: {
	figure: "served" | "in_aim" | "refused" | "failed" | "wasted" | "attempts_per_request" | "p50_ms" | "p99_ms" | "p999_ms"
	least?: number
	most?: number
}

name: string & =~"^[a-z0-9-]{1,64}$"
about: *"" | string
time: *"30s" | #Duration & >"0s" & <="24h"
gateways: *3 | int & >=1 & <=1000
servers: *9 | int & >=1 & <=100000
rooms: *3 | int & >=1 & <=1000
fronts: *4 | int & >=1 & <=1000
customers: *1000 | int & >=1 & <=100000000
zipf: *1.1 | number & >=0 & <=5
rate: *300 | number & >0 & <=10000000
burst: *0 | number & >=0 & <1
uneven: *0.3 | number & >=0 & <=1
units: *1 | number & >0
tries: *3 | int & >=1 & <=100
leaves: *0 | number & >=0 & <=1
patience: *"2s" | #Duration & >"0s"
delay: *"300us" | #Duration & >"0s" & <="10s"
list_delay: *"50ms" | #Duration & >"0s" & <="1m"
mail_loss: *0 | number & >=0 & <=1
sharing: *"mail" | "counter"
model: #Model
plans: *[] | [...#Plan]
changes: *[] | [...#Change]
faults: *[] | [...#Fault]
bounds: *[] | [...#Bound]
