name:  "slow-and-errors"
about: "One server six times as slow, another fails a third of its requests."
rate:  1000
faults: [
	{kind: "slow", at: "5s", lasts: "15s", server: 0, by: 6},
	{kind: "errors", at: "8s", lasts: "10s", server: 4, by: 0.33},
]
bounds: [{figure: "served", least: 0.95}]
