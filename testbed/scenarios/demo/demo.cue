name:  "demo"
about: "Three gateways, nine servers, a hundred customers; two servers die, and a room goes after them."
time:  "20s"
rate:  250
customers: 100
plans: [
	{name: "equipo", rate: 6, burst: 24, over_worth: 0.5, over_cost: 0.2},
	{name: "empresa", rate: 12, burst: 48, ceiling_rate: 16, ceiling_burst: 64, ceiling_slack: 6.4},
]
faults: [
	{kind: "crash", share: 0.2, at: "5s", lasts: "4s"},
	{kind: "room_lost", room: 1, with_gateways: true, at: "11s", lasts: "4s"},
]
