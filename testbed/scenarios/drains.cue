name:  "drains"
about: "One server after the other is drained, as in a rollout."
rate:  1000
faults: [
	{kind: "drain", at: "4s", lasts: "2s", server: 0},
	{kind: "drain", at: "7s", lasts: "2s", server: 1},
	{kind: "drain", at: "10s", lasts: "2s", server: 2},
	{kind: "drain", at: "13s", lasts: "2s", server: 3},
]
bounds: [{figure: "served", least: 0.98}]
