name:  "hung"
about: "A server accepts what comes and answers nobody; another loses a third of what is sent to it."
rate:  700
faults: [
	{kind: "hang", server: 1, at: "6s", lasts: "8s"},
	{kind: "link_loss", server: 4, at: "10s", lasts: "8s", by: 0.33},
]
bounds: [{figure: "served", least: 0.93}]
