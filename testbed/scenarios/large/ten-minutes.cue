name:  "ten-minutes"
about: "A hundred gateways, a thousand servers and a million customers for ten minutes; servers die, a room goes."
time:  "10m"
gateways: 100
servers: 1000
rooms: 10
fronts: 100
customers: 1000000
zipf: 0.6
rate: 4000
plans: [
	{name: "equipo", rate: 20, burst: 80, over_worth: 0.5, over_cost: 0.2},
	{name: "empresa", rate: 60, burst: 240, ceiling_rate: 90, ceiling_burst: 360, ceiling_slack: 36},
]
faults: [
	{kind: "crash", share: 0.1, at: "1m", lasts: "20s"},
	{kind: "room_lost", room: 4, with_gateways: true, at: "4m", lasts: "30s"},
]
bounds: [{figure: "served", least: 0.95}]
